"""Answer watches of single keys."""

import asyncio
from http import HTTPStatus

from emulator import key_handler, key_value_service
from oatcrank import errors, ids
from oatcrank.entry import json_handler
from oatcrank.store import keyvalue


class WatchHandler(json_handler.JsonHandler):
    """Wait for an entry newer than a revision."""

    def initialize(self, service: key_value_service.KeyValueService) -> None:
        """Keep the service's state."""
        self._service = service
        self._waiting: asyncio.Task[keyvalue.Entry | None] | None = None

    async def get(self, key: str) -> None:
        """Answer with the entry, or with nothing when time is up."""
        if not self._service.admit('watch'):
            self.answer(key_handler.EmptyAnswer(), HTTPStatus.TOO_MANY_REQUESTS)
            return
        after = ids.Revision(int(self.get_query_argument('after', '0')))
        wait_s = float(self.get_query_argument('wait_s', '0'))
        self._waiting = asyncio.create_task(
            self._service.entries().watch(key, after=after, wait_s=wait_s)
        )
        await self._answer_end(self._waiting)

    def on_connection_close(self) -> None:
        """Stop waiting for a caller that is gone."""
        if self._waiting is not None:
            self._waiting.cancel()

    async def _answer_end(
        self,
        waiting: asyncio.Task[keyvalue.Entry | None],
    ) -> None:
        try:
            entry = await waiting
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
