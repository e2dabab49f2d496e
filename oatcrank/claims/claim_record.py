"""Define one record of a claim log."""

import msgspec

from oatcrank.claims import claim


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a batch of entries; record_id is unique to the write.

    The tick is the log's age in seconds, which never runs ahead of time.
    Claims older than drop_before are dropped by every reader.
    """

    record_id: str
    tick: int
    drop_before: int
    entries: list[claim.Entry]
