"""Keep an append-only log of records in the key-value service."""

import enum

from oatcrank import errors
from oatcrank.store import keyvalue


class Appended(enum.Enum):
    """Say how an append ended."""

    committed = 'committed'
    overtaken = 'overtaken'


class AppendLog:
    """Order records by creating each one's key only if it is absent.

    Record n lives at `<prefix>/<n>`, from 1.  A record, once created, is never
    changed, so readers only move forward and a lost answer is settled by
    reading the key back.
    """

    def __init__(self, store: keyvalue.KeyValue, prefix: str) -> None:
        """Keep the log's records below the prefix."""
        self._store = store
        self._prefix = prefix

    def key(self, number: int) -> str:
        """Return the key of a record."""
        return f'{self._prefix}/{number}'

    async def read(self, number: int) -> str | None:
        """Return a record, or None if it is absent or not yet visible."""
        entry = await self._store.get(self.key(number))
        return None if entry is None else entry.value

    async def wait(self, number: int, *, wait_s: float) -> str | None:
        """Return a record as soon as it exists, or None when time is up."""
        entry = await self._store.watch(
            self.key(number),
            after=keyvalue.ABSENT,
            wait_s=wait_s,
        )
        return None if entry is None else entry.value

    async def append(self, number: int, record: str) -> Appended:
        """Create record number; each record must be unique to its writer.

        Raises errors.Unavailable if it surely was not created and
        errors.UnknownOutcome if that could not be found out.
        """
        try:
            await self._store.put(
                self.key(number),
                record,
                expected=keyvalue.ABSENT,
            )
        except errors.Conflict:
            return await self._settle(number, record)
        except errors.UnknownOutcome:
            return await self._settle(number, record)
        return Appended.committed

    async def _settle(self, number: int, record: str) -> Appended:
        try:
            found = await self.read(number)
        except errors.PlatformError as error:
            raise errors.UnknownOutcome(str(error)) from error
        if found is None:
            # A write still under way may yet create the record.
            raise errors.UnknownOutcome(f'{self.key(number)} is not visible')
        return Appended.committed if found == record else Appended.overtaken
