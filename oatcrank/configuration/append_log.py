"""Store an append-only log of records in the key-value service."""

import enum

from oatcrank import errors
from oatcrank.store import keyvalue


class AppendResult(enum.Enum):
    """Define the results of an append.

    overtaken: another writer created the record first.
    """

    committed = 'committed'
    overtaken = 'overtaken'


class AppendLog:
    """Order records by creating each one's key only if it is absent.

    Record n is stored at `<prefix>/<n>`, from 1.  A record never changes once
    created.  So readers only move forward, and the outcome of a write whose
    reply was lost is found by reading the key.
    """

    def __init__(self, store: keyvalue.KeyValue, prefix: str) -> None:
        """Store the records below the prefix."""
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
        """Return a record as soon as it exists, or None after wait_s."""
        entry = await self._store.watch(
            self.key(number),
            after=keyvalue.ABSENT,
            wait_s=wait_s,
        )
        return None if entry is None else entry.value

    async def append(self, number: int, record: str) -> AppendResult:
        """Create record number; each record must be unique to its writer.

        Raises errors.Unavailable if it was certainly not created and
        errors.UnknownOutcome if that is unknown.
        """
        try:
            await self._store.put(
                self.key(number),
                record,
                expected=keyvalue.ABSENT,
            )
        except errors.Conflict:
            return await self._resolve(number, record)
        except errors.UnknownOutcome:
            return await self._resolve(number, record)
        return AppendResult.committed

    async def _resolve(self, number: int, record: str) -> AppendResult:
        try:
            stored = await self.read(number)
        except errors.PlatformError as error:
            raise errors.UnknownOutcome(str(error)) from error
        if stored is None:
            # A write in flight may still create the record.
            raise errors.UnknownOutcome(
                f'record {self.key(number)} is not visible yet'
            )
        return (
            AppendResult.committed
            if stored == record
            else AppendResult.overtaken
        )
