"""Describe where the newest snapshot is."""

import msgspec


class SnapshotPointer(msgspec.Struct, frozen=True, kw_only=True):
    """Name a snapshot by its number and by the xxhash of its text."""

    number: int
    digest: str

    @property
    def prefix(self) -> str:
        """Return the prefix of the snapshot's keys."""
        return f'snapshots/{self.number}-{self.digest}'
