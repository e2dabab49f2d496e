"""Answer what other instances ask of this one."""

import asyncio

import msgspec

from oatcrank import ids, logs
from oatcrank.cluster import (
    holding,
    members,
    order_turn,
    peer_messages,
    peers,
    remote_arranger,
)
from oatcrank.orders import order_desk
from oatcrank.routing import crash_record, need, server_table

TELL_WITHIN_S = 1.0


class OwnPeer(peers.Peer):
    """Serve the desk, the turn and the record of crashes to others."""

    def __init__(
        self,
        desk: order_desk.OrderDesk,
        turn: order_turn.OrderTurn,
        crashes: crash_record.CrashRecord,
        known: members.Members,
        servers: server_table.ServerTable,
    ) -> None:
        """Answer for one instance."""
        self._desk = desk
        self._turn = turn
        self._crashes = crashes
        self._members = known
        self._servers = servers
        self._client = peers.Client()
        self._tellings: set[asyncio.Task[None]] = set()

    async def arrange(
        self,
        query: peer_messages.ArrangeQuery,
    ) -> peer_messages.Arranged:
        """Have something loaded."""
        return await remote_arranger.answer(self._desk, self._turn, query)

    async def demand(
        self,
        report: peer_messages.DemandReport,
    ) -> peer_messages.Done:
        """Take what callers of another instance ask for."""
        remote_arranger.take(self._desk, report)
        return peer_messages.Done()

    async def crashes(
        self,
        report: peer_messages.CrashReport,
    ) -> peer_messages.Done:
        """Take suspects that another instance has found."""
        now_s = asyncio.get_running_loop().time()
        for fingerprint in report.fingerprints:
            self._crashes.note(fingerprint, now_s)
        logs.event('suspects_told', suspects=len(report.fingerprints))
        return peer_messages.Done()

    async def unloads(
        self,
        news: peer_messages.UnloadNews,
    ) -> peer_messages.Done:
        """Take that a server is about to drop a model."""
        found = self._servers.by_id.get(news.server_id)
        if found is not None:
            found.forget(news.dropped)
        return peer_messages.Done()

    async def vouch(
        self,
        query: peer_messages.VouchQuery,
    ) -> peer_messages.Vouched:
        """Say whether a holder is still the newest known."""
        return self._turn.vouch(query)

    async def holder(
        self,
        newest: holding.Holding,
    ) -> peer_messages.Done:
        """Take who the new holder is."""
        self._turn.take_told(newest)
        return peer_messages.Done()

    async def stop(
        self,
        query: peer_messages.StopQuery,
    ) -> peer_messages.Stopped:
        """Give no more orders."""
        return self._turn.stop(query)

    def tell_crashes(self, fingerprints: list[int]) -> None:
        """Tell the other instances of suspects found here."""
        self._tell_all(
            'crashes',
            peer_messages.CrashReport(fingerprints=tuple(fingerprints)),
        )

    def tell_unload(
        self,
        server_id: ids.ServerId,
        dropped: need.Need,
    ) -> None:
        """Have all instances send no more requests for a model there."""
        found = self._servers.by_id.get(server_id)
        if found is not None:
            found.forget(dropped)
        self._tell_all(
            'unloads',
            peer_messages.UnloadNews(server_id=server_id, dropped=dropped),
        )

    def _tell_all(self, word: str, news: msgspec.Struct) -> None:
        for other in self._members.others():
            telling = asyncio.ensure_future(
                self._tell(other.peer, word, news),
            )
            self._tellings.add(telling)
            telling.add_done_callback(self._tellings.discard)

    async def _tell(
        self,
        address: str,
        word: str,
        news: msgspec.Struct,
    ) -> None:
        try:
            await self._client.ask(
                address,
                word,
                news,
                peer_messages.Done,
                TELL_WITHIN_S,
            )
        except peers.PeerUnreachable as error:
            logs.event('peer_untold', word=word, error=error)
