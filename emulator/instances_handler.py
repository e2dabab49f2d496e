"""Serve the instance list and replace it."""

import asyncio
from http import HTTPStatus

from emulator import lagging_list, listing
from oatcrank.entry import json_handler


class InstancesHandler(json_handler.JsonHandler):
    """Serve the lagging list and replace the actual one."""

    def initialize(self, lagging: lagging_list.LaggingList) -> None:
        """Set the list."""
        self._lagging = lagging

    async def get(self) -> None:
        """Answer with the lagging list."""
        faults = self._lagging.faults.current
        await asyncio.sleep(faults.hang_s)
        if faults.down:
            self.answer(listing.Listing(), HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self.answer(self._lagging.visible())

    def post(self) -> None:
        """Replace the actual list."""
        self._lagging.replace(self.decode(listing.Listing))
        self.answer(listing.Listing())
