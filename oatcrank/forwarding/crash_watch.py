"""Find out whether a server that broke an answer off has crashed."""

import asyncio
from collections.abc import Callable

from oatcrank import ids, logs
from oatcrank.routing import crash_record, server
from oatcrank.transport import backend_connection, errors

SETTLE_S = 0.05
CONNECT_S = 0.5

Publish = Callable[[list[int]], None]


class CrashWatch:
    """Suspect the requests that were running on a server that crashed."""

    def __init__(
        self,
        record: crash_record.CrashRecord,
        publish: Publish,
    ) -> None:
        """Keep suspects in a record; publish tells the other instances."""
        self._record = record
        self._publish = publish
        self._prints_by_id: dict[ids.ServerId, set[int]] = {}
        self._checks: set[asyncio.Task[None]] = set()

    def interrupted(self, where: server.Server, fingerprint: int) -> None:
        """Note that a request was cut off at a server."""
        prints = self._prints_by_id.get(where.server_id)
        if prints is not None:
            prints.add(fingerprint)
            return
        self._prints_by_id[where.server_id] = {fingerprint}
        check = asyncio.ensure_future(self._check(where))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(self, where: server.Server) -> None:
        await asyncio.sleep(SETTLE_S)
        crashed = not await self._answers(where)
        prints = self._prints_by_id.pop(where.server_id)
        if not crashed:
            return
        now_s = asyncio.get_running_loop().time()
        where.suspend(now_s)
        for fingerprint in prints:
            self._record.note(fingerprint, now_s)
        logs.event(
            'server_crashed',
            server=where.server_id,
            suspects=len(prints),
        )
        self._publish(sorted(prints))

    async def _answers(self, where: server.Server) -> bool:
        try:
            connection = await backend_connection.connect(
                where.listed.host,
                where.listed.port,
                CONNECT_S,
            )
        except errors.ConnectFailed:
            return False
        connection.close()
        return True
