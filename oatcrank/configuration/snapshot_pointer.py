"""Define the reference to the newest snapshot."""

import msgspec


class SnapshotPointer(msgspec.Struct, frozen=True, kw_only=True):
    """Identify a snapshot by its number and the xxhash of its text."""

    number: int
    digest: str

    @property
    def prefix(self) -> str:
        """Return the prefix of the snapshot's keys."""
        return f'snapshots/{self.number}-{self.digest}'
