"""Talk with other instances about who holds the order lease."""

from oatcrank import logs
from oatcrank.cluster import holding, peer_messages, peers

ASK_WITHIN_S = 0.3


class HolderTalk:
    """Ask and tell other instances; one that is silent is logged."""

    def __init__(self, client: peers.Client) -> None:
        """Send by a client."""
        self._client = client

    async def ask_vouch(
        self,
        address: str,
        held: holding.Holding,
    ) -> peer_messages.Vouched | None:
        """Return whether an instance knows no newer holder, None if silent."""
        try:
            return await self._client.ask(
                address,
                'vouch',
                peer_messages.VouchQuery(holder=held),
                peer_messages.Vouched,
                ASK_WITHIN_S,
            )
        except peers.PeerUnreachable as error:
            logs.event('vouch_failed', error=error)
            return None

    async def tell_holder(self, address: str, held: holding.Holding) -> None:
        """Tell an instance who the new holder is."""
        try:
            await self._client.ask(
                address,
                'holder',
                held,
                peer_messages.Done,
                ASK_WITHIN_S,
            )
        except peers.PeerUnreachable as error:
            logs.event('holder_untold', error=error)

    async def ask_stop(
        self,
        former: holding.HolderRecord,
        successor: holding.Holding,
    ) -> peer_messages.Stopped | None:
        """Have a former holder stop; None if it doesn't answer.

        One whose process is gone has stopped, and its loads are unknown.
        """
        try:
            return await self._client.ask(
                former.peer,
                'stop',
                peer_messages.StopQuery(
                    successor=successor,
                    started_ms=former.started_ms,
                ),
                peer_messages.Stopped,
                ASK_WITHIN_S,
            )
        except peers.PeerGone as error:
            logs.event('former_holder_ended', error=error)
            return peer_messages.Stopped(waits_s=0, store_loads=None)
        except peers.PeerUnreachable as error:
            logs.event('former_holder_silent', error=error)
            return None
