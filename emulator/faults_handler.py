"""Set the faults of a stand-in by HTTP."""

from http import HTTPStatus
from typing import Any

import msgspec
from tornado import web

from emulator import fault_box
from oatcrank.entry import json_handler


class FaultsHandler(json_handler.JsonHandler):
    """Set the faults named in the body; the others stay."""

    def initialize(self, faults: fault_box.FaultBox[Any]) -> None:
        """Keep the faults to set."""
        self._faults = faults

    def get(self) -> None:
        """Answer with the present faults."""
        self.answer(self._faults.current)

    def post(self) -> None:
        """Set faults and answer with all of them."""
        try:
            self._faults.merge(self.decode(dict[str, Any]))
        except msgspec.ValidationError as error:
            raise web.HTTPError(HTTPStatus.BAD_REQUEST, str(error)) from error
        self.answer(self._faults.current)
