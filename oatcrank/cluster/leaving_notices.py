"""Tell the other instances which servers have said that they leave.

An instance that reads it in an answer tells the first two instances that all
rank alike for the server.  These tell all others, so that many instances that
read it at once cause few messages.
"""

import asyncio

from oatcrank.cluster import (
    datagram_endpoint,
    leaving_messages,
    member,
    members,
)
from oatcrank.routing import server_process, server_table

NOTIFIERS = 2
# A notice may be lost, so it is sent this often.
SENDS = 3
SEND_INTERVAL_S = 0.2


class LeavingNotices:
    """Send notices of leaving servers and apply those of other instances."""

    def __init__(
        self,
        members: members.Members,
        servers: server_table.ServerTable,
        endpoint: datagram_endpoint.DatagramEndpoint,
    ) -> None:
        """Tell the members what a table of servers learns, and vice versa."""
        self._members = members
        self._servers = servers
        self._endpoint = endpoint
        endpoint.set_handler(leaving_messages.LeavingNotice, self._handle)
        servers.listen_for_leaving(self._announce)

    def _announce(
        self,
        leaving: server_process.RegisteredProcess,
        source: server_table.LeavingSource,
    ) -> None:
        receivers = self._receivers(leaving, source)
        if not receivers:
            return
        notice = leaving_messages.LeavingNotice(leaving)
        loop = asyncio.get_running_loop()
        for number in range(SENDS):
            loop.call_later(
                number * SEND_INTERVAL_S, self._send, notice, receivers
            )

    def _receivers(
        self,
        leaving: server_process.RegisteredProcess,
        source: server_table.LeavingSource,
    ) -> list[member.Member]:
        notifiers = self._members.ranked(leaving.process.server_id, NOTIFIERS)
        if not notifiers or self._members.own in notifiers:
            return self._members.others()
        if source is server_table.LeavingSource.other_instance:
            return []
        return notifiers

    def _send(
        self,
        notice: leaving_messages.LeavingNotice,
        receivers: list[member.Member],
    ) -> None:
        for receiver in receivers:
            if receiver.datagram_address:
                self._endpoint.send(notice, receiver.datagram_address)

    def _handle(self, notice: leaving_messages.LeavingNotice, _: str) -> None:
        self._servers.record_leaving(
            notice.leaving, server_table.LeavingSource.other_instance
        )
