"""Keep snapshots and segments of the change log, for reads by few keys."""

import msgspec
import xxhash

from oatcrank import errors, logs
from oatcrank.configuration import (
    _chunks,
    change,
    change_log,
    snapshot,
    snapshot_pointer,
)
from oatcrank.store import keyvalue

POINTER_KEY = 'snapshot'
POINTER_ATTEMPTS = 3


class SnapshotStore:
    """Write snapshots and read the log by way of them.

    A snapshot's keys carry the hash of its text, so all their writers write
    the same; the pointer to the newest one only rises.  The log's own records
    stay: were one deleted, a late write could create it anew.
    """

    def __init__(
        self,
        store: keyvalue.KeyValue,
        log: change_log.ChangeLog,
    ) -> None:
        """Keep the snapshots of a log."""
        self._store = store
        self._log = log

    async def load(self) -> None:
        """Bring the log to the newest visible change.

        Raises errors.PlatformError; a repeated call goes on from there.
        """
        pointer, _ = await self._pointer()
        if pointer is not None and pointer.number > self._log.newest:
            await self._restore(pointer)
        await self._log.catch_up()
        start = 0 if pointer is None else pointer.number
        if self._log.newest - start >= self._log.segment_changes:
            await self.save()

    async def save(self) -> None:
        """Write a snapshot and what segments are full; raises PlatformError."""
        await self._save_segments()
        base = self._log.whole()
        text = msgspec.json.encode(base).decode()
        pointer = snapshot_pointer.SnapshotPointer(
            number=base.number,
            digest=xxhash.xxh3_64_hexdigest(text.encode()),
        )
        await _chunks.create(self._store, pointer.prefix, _chunks.split(text))
        for _ in range(POINTER_ATTEMPTS):
            if await self._raise_pointer(pointer):
                return
        # A stale read can hide the newer pointer; the next snapshot mends it.
        logs.event('snapshot_pointer_unmoved', number=pointer.number)

    async def changes_after(
        self,
        after: int,
        *,
        at_most: int | None = None,
    ) -> tuple[change.Change, ...]:
        """Return changes known here after a number; raises PlatformError."""
        last = self._log.newest
        if at_most is not None:
            last = min(last, after + at_most)
        found: list[change.Change] = []
        number = after + 1
        while number <= last:
            found.extend(await self._run_from(number))
            number = found[-1].number + 1
        return tuple(record for record in found if record.number <= last)

    async def _run_from(self, number: int) -> tuple[change.Change, ...]:
        """Return one or more changes from a number on."""
        kept = self._log.kept_after(number - 1)
        if kept:
            return kept
        size = self._log.segment_changes
        last = (number + size - 1) // size * size
        text = await _chunks.read(self._store, f'segments/{last}')
        if text is not None:
            records = msgspec.json.decode(text, type=tuple[str, ...])
            return tuple(
                change_log.decoded(record)
                for record in records[number - 1 - last :]
            )
        record = await self._log.records.read(number)
        if record is None:
            raise errors.Unavailable(f'change {number} is not visible')
        return (change_log.decoded(record),)

    async def _restore(self, pointer: snapshot_pointer.SnapshotPointer) -> None:
        text = await _chunks.read(self._store, pointer.prefix)
        if text is None:
            raise errors.Unavailable(f'{pointer.prefix} is not visible')
        try:
            base = msgspec.json.decode(text, type=snapshot.Snapshot)
        except msgspec.MsgspecError as error:
            raise errors.Unavailable(f'snapshot unreadable: {error}') from error
        self._log.restore(base)

    async def _save_segments(self) -> None:
        size = self._log.segment_changes
        last = self._log.newest // size * size
        while last > 0:
            kept = self._log.kept_after(last - size)
            if kept is None:
                return
            records = [change_log.encoded(record) for record in kept[:size]]
            text = msgspec.json.encode(records).decode()
            pieces = _chunks.split(text)
            await _chunks.create(self._store, f'segments/{last}', pieces)
            last -= size

    async def _pointer(
        self,
    ) -> tuple[snapshot_pointer.SnapshotPointer | None, keyvalue.Entry | None]:
        entry = await self._store.get(POINTER_KEY)
        if entry is None:
            return None, None
        pointer = msgspec.json.decode(
            entry.value,
            type=snapshot_pointer.SnapshotPointer,
        )
        return pointer, entry

    async def _raise_pointer(
        self,
        pointer: snapshot_pointer.SnapshotPointer,
    ) -> bool:
        found, entry = await self._pointer()
        if found is not None and found.number >= pointer.number:
            return True
        try:
            await self._store.put(
                POINTER_KEY,
                msgspec.json.encode(pointer).decode(),
                expected=keyvalue.ABSENT if entry is None else entry.revision,
            )
        except errors.Conflict:
            return False
        return True
