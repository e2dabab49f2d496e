"""Detect server crashes after interrupted answers."""

import asyncio
from collections.abc import Callable

from oatcrank import ids, logs
from oatcrank.routing import crash_record, server
from oatcrank.transport import backend_connection, errors

# A server is checked this long after an interrupted request; requests that
# are interrupted until then are covered by the same check.
CHECK_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 0.5

Publish = Callable[[list[int]], None]


class CrashDetector:
    """Record the requests that ran on a server when it crashed."""

    def __init__(
        self,
        crash_record: crash_record.CrashRecord,
        publish: Publish,
    ) -> None:
        """Record fingerprints of suspected requests.

        publish sends them to the other instances.
        """
        self._crash_record = crash_record
        self._publish = publish
        self._suspects_by_server_id: dict[ids.ServerId, set[int]] = {}
        self._checks: set[asyncio.Task[None]] = set()

    def record_interruption(
        self, target: server.Server, fingerprint: int
    ) -> None:
        """Record an interrupted request and check the server soon after."""
        suspects = self._suspects_by_server_id.get(target.server_id)
        if suspects is not None:
            suspects.add(fingerprint)
            return
        self._suspects_by_server_id[target.server_id] = {fingerprint}
        check = asyncio.ensure_future(self._check(target))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(self, target: server.Server) -> None:
        await asyncio.sleep(CHECK_DELAY_S)
        crashed = not await self._accepts_connections(target)
        suspects = self._suspects_by_server_id.pop(target.server_id)
        if not crashed:
            return
        now_s = asyncio.get_running_loop().time()
        target.suspend(now_s)
        for fingerprint in suspects:
            self._crash_record.record_interruption(fingerprint, now_s)
        logs.event(
            'server_crashed',
            server=target.server_id,
            suspects=len(suspects),
        )
        self._publish(sorted(suspects))

    async def _accepts_connections(self, target: server.Server) -> bool:
        try:
            connection = await backend_connection.connect(
                target.registration.host,
                target.registration.port,
                CONNECT_TIMEOUT_S,
            )
        except errors.ConnectFailed:
            return False
        connection.close()
        return True
