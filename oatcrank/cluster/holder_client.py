"""Exchange messages with peers about the holder of the order lease."""

from oatcrank import logs
from oatcrank.cluster import lease_holder, peer_messages, peers

REQUEST_TIMEOUT_S = 0.3


class HolderClient:
    """Send order lease messages to peers; log those that don't answer."""

    def __init__(self, peer_client: peers.Client) -> None:
        """Send messages through a peer client."""
        self._client = peer_client

    async def confirm_holder(
        self,
        address: str,
        held: lease_holder.LeaseHolder,
    ) -> peer_messages.Confirmation | None:
        """Ask a peer whether it knows a newer holder; None if unreachable."""
        try:
            return await self._client.send(
                address,
                'vouch',
                peer_messages.ConfirmQuery(holder=held),
                peer_messages.Confirmation,
                REQUEST_TIMEOUT_S,
            )
        except peers.PeerUnreachable as error:
            logs.event('holder_confirmation_failed', error=error)
            return None

    async def announce_holder(
        self, address: str, held: lease_holder.LeaseHolder
    ) -> None:
        """Notify a peer of the new holder."""
        try:
            await self._client.send(
                address,
                'holder',
                held,
                peer_messages.Acknowledgement,
                REQUEST_TIMEOUT_S,
            )
        except peers.PeerUnreachable as error:
            logs.event('holder_announcement_failed', error=error)

    async def request_stop(
        self,
        former: lease_holder.HolderRecord,
        successor: lease_holder.LeaseHolder,
    ) -> peer_messages.StopReply | None:
        """Ask a former holder to stop; None if it doesn't answer.

        A holder whose process has ended counts as stopped, with an unknown
        number of loads.
        """
        try:
            return await self._client.send(
                former.peer_address,
                'stop',
                peer_messages.StopQuery(
                    successor=successor,
                    started_ms=former.started_ms,
                ),
                peer_messages.StopReply,
                REQUEST_TIMEOUT_S,
            )
        except peers.PeerGone as error:
            logs.event('former_holder_ended', error=error)
            return peer_messages.StopReply(wait_s=0, store_loads=None)
        except peers.PeerUnreachable as error:
            logs.event('former_holder_unreachable', error=error)
            return None
