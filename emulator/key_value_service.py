"""State of the key-value stand-in."""

import collections

import msgspec

from emulator import (
    active_faults,
    key_value_config,
    key_value_faults,
    memory_key_value,
    rate_limit,
)

MS_PER_S = 1000


class CallCounts(msgspec.Struct, frozen=True):
    """Calls by kind, including refused ones, and calls over the rate."""

    calls_by_kind: dict[str, int]
    over_rate: int


class KeyValueService:
    """Count calls, limit their rate and apply faults to the entries."""

    def __init__(self, config: key_value_config.KeyValueConfig) -> None:
        """Create an empty service."""
        self.faults = active_faults.ActiveFaults(
            key_value_faults.KeyValueFaults()
        )
        self._entries = memory_key_value.MemoryKeyValue()
        self._answer_s = config.answer_ms / MS_PER_S
        self._writes = rate_limit.RateLimit(config.writes_per_s)
        self._reads = rate_limit.RateLimit(config.reads_per_s)
        self._calls: collections.Counter[str] = collections.Counter()
        self._over_rate = 0

    def admit(self, kind: str) -> bool:
        """Count a call; False if it exceeds the rate limit of its kind."""
        self._calls[kind] += 1
        limit = self._writes if kind in {'put', 'delete'} else self._reads
        admitted = limit.admit()
        self._over_rate += not admitted
        return admitted

    def entries(self) -> memory_key_value.MemoryKeyValue:
        """Return the entries with the active faults applied."""
        faults = self.faults.current
        self._entries.down = faults.down
        self._entries.stale_reads = faults.stale_reads
        self._entries.delay_s = faults.hang_s + self._answer_s
        return self._entries

    def counts(self) -> CallCounts:
        """Return the call counts since the start."""
        return CallCounts(dict(self._calls), self._over_rate)
