"""Describe what is assumed of the platform's key-value service."""

import abc

import msgspec

from oatcrank import ids

ABSENT = ids.Revision(0)


class Entry(msgspec.Struct, frozen=True):
    """Hold one key's value and the revision of its last write."""

    value: str
    revision: ids.Revision


class KeyValue(abc.ABC):
    """Read, write and watch single keys.

    Every method raises errors.Unavailable when the call surely had no effect.
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
        """Write if the revision matches (ABSENT creates) and return the new.

        Raises errors.Conflict, or errors.UnknownOutcome if the answer is lost.
        """

    @abc.abstractmethod
    async def delete(self, key: str) -> None:
        """Remove the key, or raise errors.UnknownOutcome."""

    @abc.abstractmethod
    async def watch(
        self,
        key: str,
        *,
        after: ids.Revision,
        wait_s: float,
    ) -> Entry | None:
        """Return the first entry newer than after, or None when time is up."""
