"""Define the interface of the platform's key-value service."""

import abc

import msgspec

from oatcrank import ids

ABSENT = ids.Revision(0)


class Entry(msgspec.Struct, frozen=True):
    """Value of a key and the revision of its last write."""

    value: str
    revision: ids.Revision


class KeyValue(abc.ABC):
    """Interface for reading, writing and watching single keys.

    Every method raises errors.Unavailable if the call certainly had no effect.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> Entry | None:
        """Return the entry, which may be stale, or None if absent."""

    @abc.abstractmethod
    async def put(
        self,
        key: str,
        value: str,
        *,
        expected: ids.Revision,
    ) -> ids.Revision:
        """Write if the revision matches and return the new revision.

        ABSENT as the expected revision creates the key.

        Raises errors.Conflict, or errors.UnknownOutcome if the answer is lost.
        """

    @abc.abstractmethod
    async def delete(self, key: str) -> None:
        """Delete the key, or raise errors.UnknownOutcome."""

    @abc.abstractmethod
    async def watch(
        self,
        key: str,
        *,
        after: ids.Revision,
        wait_s: float,
    ) -> Entry | None:
        """Return the first entry newer than after, or None on timeout."""
