"""Show by HTTP what a stand-in ran."""

from emulator import ledger
from oatcrank.entry import json_handler


class LedgerHandler(json_handler.JsonHandler):
    """Answer with the ledger."""

    def initialize(self, entries: ledger.Ledger) -> None:
        """Keep the ledger to show."""
        self._entries = entries

    def get(self) -> None:
        """Answer with every entry kept."""
        self.answer(self._entries.page())
