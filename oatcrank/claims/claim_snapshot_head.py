"""Head of the newest snapshot of a claim log."""

import msgspec


class ClaimSnapshotHead(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a snapshot and the keys that it makes obsolete.

    The next save deletes these: the records from delete_from up to, but not
    including, delete_to, and the chunks of the previous snapshot.
    """

    number: int = 0
    tick: int = 0
    drop_before: int = 0
    marks: list[tuple[int, int]] = []
    snapshot_id: str = ''
    chunks: int = 0
    delete_from: int = 1
    delete_to: int = 1
    old_snapshot_id: str = ''
    old_chunks: int = 0
