"""Counts that a measured entry process writes about itself."""

import msgspec

from oatcrank.configuration import applied_change


class SlopeCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Bytes over TCP with headers, calls, and times of applied changes."""

    bytes_in: int
    bytes_out: int
    calls_by_path: dict[str, int]
    history: tuple[applied_change.AppliedChange, ...]
