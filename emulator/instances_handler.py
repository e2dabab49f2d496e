"""Answer with the instance list, and set it."""

import asyncio
from http import HTTPStatus

from emulator import lagging_list, listing
from oatcrank.entry import json_handler


class InstancesHandler(json_handler.JsonHandler):
    """Answer with the list as it shows, and set the truth."""

    def initialize(self, lagging: lagging_list.LaggingList) -> None:
        """Keep the list."""
        self._lagging = lagging

    async def get(self) -> None:
        """Answer with the list as it shows."""
        faults = self._lagging.faults.current
        await asyncio.sleep(faults.hang_s)
        if faults.down:
            self.answer(listing.Listing(), HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self.answer(self._lagging.shown())

    def post(self) -> None:
        """Replace the truth."""
        self._lagging.replace(self.decode(listing.Listing))
        self.answer(listing.Listing())
