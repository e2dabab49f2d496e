"""Store snapshots and segments of the change log to read it from few keys."""

import msgspec
import xxhash

from oatcrank import decoding, errors, logs
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
    """Write snapshots and use them to read the log.

    A segment holds segment_changes consecutive records of the log under the
    number of the last one.
    A snapshot's keys contain the hash of its text, so all writers of a key
    write the same value.  The number of the pointer to the newest snapshot
    only increases.  The records of the log are kept: if one were deleted, a
    delayed write could create it again.
    """

    def __init__(
        self,
        store: keyvalue.KeyValue,
        log: change_log.ChangeLog,
    ) -> None:
        """Store the snapshots of a log."""
        self._store = store
        self._log = log

    async def load(self) -> None:
        """Apply the newest snapshot and all visible changes to the log.

        Raises errors.PlatformError; a repeated call continues from there.
        """
        pointer, _ = await self._read_pointer()
        if pointer is not None and pointer.number > self._log.newest:
            await self._restore(pointer)
        await self._log.catch_up()
        start = 0 if pointer is None else pointer.number
        if self._log.newest - start >= self._log.segment_changes:
            await self.save()

    async def save(self) -> None:
        """Write a snapshot and the full segments; raises PlatformError."""
        await self._save_segments()
        base = self._log.take_snapshot()
        text = msgspec.json.encode(base).decode()
        pointer = snapshot_pointer.SnapshotPointer(
            number=base.number,
            digest=xxhash.xxh3_64_hexdigest(text.encode()),
        )
        await _chunks.create(self._store, pointer.prefix, _chunks.split(text))
        for _ in range(POINTER_ATTEMPTS):
            if await self._advance_pointer(pointer):
                return
        # A stale read can hide the newer pointer; the next snapshot moves it.
        logs.event('snapshot_pointer_not_advanced', number=pointer.number)

    async def changes_after(
        self,
        after: int,
        *,
        at_most: int | None = None,
    ) -> tuple[change.Change, ...]:
        """Return the applied changes after a number; raises PlatformError."""
        last = self._log.newest
        if at_most is not None:
            last = min(last, after + at_most)
        changes: list[change.Change] = []
        number = after + 1
        while number <= last:
            changes.extend(await self._read_from(number))
            number = changes[-1].number + 1
        return tuple(record for record in changes if record.number <= last)

    async def _read_from(self, number: int) -> tuple[change.Change, ...]:
        """Return one or more consecutive changes from a number on."""
        kept_changes = self._log.kept_after(number - 1)
        if kept_changes:
            return kept_changes
        size = self._log.segment_changes
        last = (number + size - 1) // size * size
        text = await _chunks.read(self._store, f'segments/{last}')
        if text is not None:
            records = decoding.from_json(text, expected=tuple[str, ...])
            return tuple(
                change_log.decode_record(record)
                for record in records[number - 1 - last :]
            )
        record = await self._log.records.read(number)
        if record is None:
            raise errors.Unavailable(f'change {number} is not visible yet')
        return (change_log.decode_record(record),)

    async def _restore(self, pointer: snapshot_pointer.SnapshotPointer) -> None:
        text = await _chunks.read(self._store, pointer.prefix)
        if text is None:
            raise errors.Unavailable(
                f'snapshot {pointer.prefix} is not visible yet'
            )
        try:
            base = decoding.from_json(text, expected=snapshot.Snapshot)
        except msgspec.MsgspecError as error:
            raise errors.Unavailable(f'invalid snapshot: {error}') from error
        self._log.restore(base)

    async def _save_segments(self) -> None:
        size = self._log.segment_changes
        last = self._log.newest // size * size
        while last > 0:
            kept_changes = self._log.kept_after(last - size)
            if kept_changes is None:
                return
            records = [
                change_log.encode_record(record)
                for record in kept_changes[:size]
            ]
            text = msgspec.json.encode(records).decode()
            chunks = _chunks.split(text)
            await _chunks.create(self._store, f'segments/{last}', chunks)
            last -= size

    async def _read_pointer(
        self,
    ) -> tuple[snapshot_pointer.SnapshotPointer | None, keyvalue.Entry | None]:
        entry = await self._store.get(POINTER_KEY)
        if entry is None:
            return None, None
        pointer = decoding.from_json(
            entry.value,
            expected=snapshot_pointer.SnapshotPointer,
        )
        return pointer, entry

    async def _advance_pointer(
        self,
        pointer: snapshot_pointer.SnapshotPointer,
    ) -> bool:
        current, entry = await self._read_pointer()
        if current is not None and current.number >= pointer.number:
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
