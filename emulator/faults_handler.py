"""Read and set the faults of a stand-in over HTTP."""

from http import HTTPStatus
from typing import Any

import msgspec
from tornado import web

from emulator import active_faults
from oatcrank.entry import json_handler


class FaultsHandler(json_handler.JsonHandler):
    """Change the faults in the body and keep the others."""

    def initialize(self, faults: active_faults.ActiveFaults[Any]) -> None:
        """Set the faults to control."""
        self._faults = faults

    def get(self) -> None:
        """Answer with the active faults."""
        self.answer(self._faults.current)

    def post(self) -> None:
        """Change faults and answer with all active faults."""
        try:
            self._faults.merge(self.decode(dict[str, Any]))
        except msgspec.ValidationError as error:
            raise web.HTTPError(HTTPStatus.BAD_REQUEST, str(error)) from error
        self.answer(self._faults.current)
