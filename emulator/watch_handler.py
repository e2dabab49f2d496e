"""Handler for watches of single keys."""

import asyncio
from http import HTTPStatus

from emulator import key_handler, key_value_service
from oatcrank import errors, ids
from oatcrank.entry import json_handler
from oatcrank.store import keyvalue


class WatchHandler(json_handler.JsonHandler):
    """Handler that waits for an entry newer than a revision."""

    def initialize(self, service: key_value_service.KeyValueService) -> None:
        """Set the state of the service."""
        self._service = service
        self._watch_task: asyncio.Task[keyvalue.Entry | None] | None = None

    async def get(self, key: str) -> None:
        """Return the entry, or 204 after the time to wait."""
        if not self._service.admit('watch'):
            self.answer(key_handler.EmptyAnswer(), HTTPStatus.TOO_MANY_REQUESTS)
            return
        after = ids.Revision(int(self.get_query_argument('after', '0')))
        wait_s = float(self.get_query_argument('wait_s', '0'))
        self._watch_task = asyncio.create_task(
            self._service.entries().watch(key, after=after, wait_s=wait_s)
        )
        await self._send_result(self._watch_task)

    def on_connection_close(self) -> None:
        """Stop waiting when the caller has disconnected."""
        if self._watch_task is not None:
            self._watch_task.cancel()

    async def _send_result(
        self,
        watch_task: asyncio.Task[keyvalue.Entry | None],
    ) -> None:
        try:
            entry = await watch_task
        except errors.Unavailable:
            self.answer(
                key_handler.EmptyAnswer(), HTTPStatus.SERVICE_UNAVAILABLE
            )
            return
        except asyncio.CancelledError:
            return
        if entry is None:
            self.set_status(HTTPStatus.NO_CONTENT)
            self.finish()
        else:
            self.answer(entry)
