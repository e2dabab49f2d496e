"""Record what a stand-in ran."""

import collections
import time

import msgspec

from emulator import ledger_entry

KEPT_ENTRIES = 200_000


class LedgerPage(msgspec.Struct, frozen=True):
    """Hold the answer that lists the entries."""

    entries: list[ledger_entry.LedgerEntry]


class Ledger:
    """Keep the newest entries, oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: collections.deque[ledger_entry.LedgerEntry] = (
            collections.deque(maxlen=KEPT_ENTRIES)
        )

    def begin(self, entry: ledger_entry.LedgerEntry) -> None:
        """Record that a run starts."""
        entry.started = time.time()
        self._entries.append(entry)

    def end(
        self,
        entry: ledger_entry.LedgerEntry,
        *,
        cancelled: bool = False,
    ) -> None:
        """Record that a run is over."""
        entry.finished = time.time()
        entry.cancelled = cancelled

    def page(self) -> LedgerPage:
        """Return every entry kept."""
        return LedgerPage(list(self._entries))
