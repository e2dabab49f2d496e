"""Record format of a claim log."""

import msgspec

from oatcrank.claims import claim


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a batch of entries; record_id is unique to the write.

    tick is the log's age in seconds; it may lag behind real time but never
    runs ahead of it.  Every reader drops claims older than drop_before.
    """

    record_id: str
    tick: int
    drop_before: int
    entries: list[claim.Entry]
