"""Serve the weight store's catalogue."""

import asyncio
from http import HTTPStatus

from tornado import web

from emulator import timed_store
from oatcrank.entry import json_handler


class CatalogueHandler(json_handler.JsonHandler):
    """Answer with the models and adapters that can be loaded."""

    def initialize(self, store: timed_store.TimedStore) -> None:
        """Set the store."""
        self._store = store

    async def get(self) -> None:
        """Answer with the catalogue."""
        faults = self._store.faults.current
        await asyncio.sleep(faults.hang_s)
        if faults.down:
            raise web.HTTPError(HTTPStatus.SERVICE_UNAVAILABLE)
        self.answer(self._store.config.catalogue)
