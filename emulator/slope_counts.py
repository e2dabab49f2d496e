"""Hold what one entry process has counted of itself."""

import msgspec

from oatcrank.configuration import applied_change


class SlopeCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Hold bytes over TCP, headers included, and when changes applied."""

    bytes_in: int
    bytes_out: int
    calls_by_path: dict[str, int]
    history: tuple[applied_change.AppliedChange, ...]
