"""Handle transfers of weights to an engine."""

import asyncio
from http import HTTPStatus

from tornado import web

from emulator import timed_store, weight_load
from oatcrank.entry import json_handler


class LoadsHandler(json_handler.JsonHandler):
    """Simulate transfers from the weight store."""

    def initialize(self, store: timed_store.TimedStore) -> None:
        """Set the store."""
        self._store = store

    async def post(self) -> None:
        """Transfer weights and answer when they have arrived."""
        faults = self._store.faults.current
        await asyncio.sleep(faults.hang_s)
        if faults.down:
            raise web.HTTPError(HTTPStatus.SERVICE_UNAVAILABLE)
        load = self.decode(weight_load.WeightLoad)
        await self._store.transfer(load)
        self.answer(load)
