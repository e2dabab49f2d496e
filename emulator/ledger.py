"""Record the requests that a stand-in ran."""

import collections
import time

import msgspec

from emulator import ledger_entry

KEPT_ENTRIES = 200_000


class LedgerPage(msgspec.Struct, frozen=True):
    """Answer with the entries of a ledger."""

    entries: list[ledger_entry.LedgerEntry]


class Ledger:
    """Newest runs of a stand-in, oldest first."""

    def __init__(self) -> None:
        """Create an empty ledger."""
        self._entries: collections.deque[ledger_entry.LedgerEntry] = (
            collections.deque(maxlen=KEPT_ENTRIES)
        )

    def begin(self, entry: ledger_entry.LedgerEntry) -> None:
        """Record the start of a run."""
        entry.started = time.time()
        self._entries.append(entry)

    def end(
        self,
        entry: ledger_entry.LedgerEntry,
        *,
        cancelled: bool = False,
    ) -> None:
        """Record the end of a run."""
        entry.finished = time.time()
        entry.cancelled = cancelled

    def page(self) -> LedgerPage:
        """Return all stored entries."""
        return LedgerPage(list(self._entries))
