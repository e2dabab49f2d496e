"""Serve the ledger of a stand-in."""

from emulator import ledger
from oatcrank.entry import json_handler


class LedgerHandler(json_handler.JsonHandler):
    """Serve a ledger."""

    def initialize(self, entries: ledger.Ledger) -> None:
        """Set the ledger."""
        self._entries = entries

    def get(self) -> None:
        """Answer with all stored entries."""
        self.answer(self._entries.page())
