"""Append to a claim log and apply the records of other writers."""

import asyncio
import math
import uuid

import msgspec

from oatcrank import clock, decoding, errors, logs
from oatcrank.claims import claim, claim_record, claim_snapshot, claim_state
from oatcrank.configuration import append_log
from oatcrank.settings import claims_settings
from oatcrank.store import keyvalue

APPEND_ATTEMPTS = 3
MAX_OVERTAKEN_APPENDS = 20
# Records after a position older than this part of the retention may already be
# deleted, so the state is then reloaded from the snapshot.
MAX_POSITION_AGE_DIVISOR = 4
DROP_STEP_DIVISOR = 16
MIN_SNAPSHOT_RECORDS = 1000
SNAPSHOT_CLAIMS_DIVISOR = 4


class ClaimLog:
    """Keep a log's state up to date; not safe for concurrent calls."""

    def __init__(
        self,
        *,
        store: keyvalue.KeyValue,
        prefix: str,
        settings: claims_settings.ClaimsSettings,
        clock: clock.Clock,
    ) -> None:
        """Set up; the log is read on first use."""
        self.state = claim_state.ClaimState()
        self.refreshed_at = -math.inf
        self._records = append_log.AppendLog(store, prefix)
        self._snapshots = claim_snapshot.ClaimSnapshots(store, prefix)
        self._retention_s = settings.retention_s
        self._prefix = prefix
        self._clock = clock
        self._tick_reading: tuple[int, float] | None = None
        self._snapshot_number = 0
        self._save_task: asyncio.Task[None] | None = None

    async def refresh(self) -> None:
        """Apply all records that are visible now.

        Raises errors.PlatformError.
        """
        started_at = self._clock.now()
        if (
            started_at - self.refreshed_at
            >= self._retention_s / MAX_POSITION_AGE_DIVISOR
        ):
            await self._load()
        await self._catch_up()
        self.refreshed_at = started_at

    async def commit(self, entries: list[claim.Entry]) -> None:
        """Append a record with the entries, after applying all earlier ones.

        Raises errors.PlatformError if the record is not known to be committed;
        it may still be written, and later calls apply it if it was.
        """
        started_at = self._clock.now()
        if (
            started_at - self.refreshed_at
            >= self._retention_s / MAX_POSITION_AGE_DIVISOR
        ):
            await self._load()
            await self._catch_up()
        for _ in range(MAX_OVERTAKEN_APPENDS):
            if await self._append(self._record(entries)):
                self.refreshed_at = started_at
                return
            number = self.state.number
            await self._catch_up()
            if self.state.number == number:
                break
        raise errors.Unavailable(f'{self._prefix}: too many concurrent appends')

    @property
    def is_saving(self) -> bool:
        """Return whether a snapshot is being saved."""
        return self._save_task is not None and not self._save_task.done()

    def save_if_due(self) -> None:
        """Save a snapshot if enough records were applied since the last."""
        due = max(
            MIN_SNAPSHOT_RECORDS, len(self.state) // SNAPSHOT_CLAIMS_DIVISOR
        )
        if (
            not self.is_saving
            and self.state.number - self._snapshot_number >= due
        ):
            self._snapshot_number = self.state.number
            self._save_task = asyncio.create_task(self._save())

    def discard_state(self) -> None:
        """Free the state, but keep the estimate of the log's age."""
        self.state = claim_state.ClaimState()
        self.refreshed_at = -math.inf

    async def close(self) -> None:
        """Cancel a snapshot that is being saved."""
        if self._save_task is not None:
            self._save_task.cancel()
            await asyncio.wait([self._save_task])

    async def _load(self) -> None:
        loaded = await self._snapshots.load()
        self.state = loaded
        self._snapshot_number = loaded.number
        self._update_tick_reading(loaded.tick)

    async def _catch_up(self) -> None:
        while True:
            text = await self._records.read(self.state.number + 1)
            if text is None:
                return
            self._apply(
                decoding.from_json(text, expected=claim_record.ClaimRecord),
            )

    async def _append(self, record: claim_record.ClaimRecord) -> bool:
        """Return whether the record became the next one of the log.

        If the outcome is unknown, creating the same record again determines
        it, because every record has a unique id.
        """
        number = self.state.number + 1
        text = msgspec.json.encode(record).decode()
        for attempt in range(1, APPEND_ATTEMPTS + 1):
            try:
                appended = await self._records.append(number, text)
            except errors.UnknownOutcome:
                logs.event(
                    'claim_append_unknown', log=self._prefix, number=number
                )
                if attempt == APPEND_ATTEMPTS:
                    raise
            else:
                break
        if appended is append_log.AppendResult.committed:
            self._apply(record)
            return True
        return False

    def _apply(self, record: claim_record.ClaimRecord) -> None:
        self._update_tick_reading(record.tick)
        self.state.apply(self.state.number + 1, record)

    def _update_tick_reading(self, tick: int) -> None:
        # A tick is read after it was written, so the estimate can only lag.
        if self._tick_reading is None or tick > self._estimated_tick():
            self._tick_reading = (tick, self._clock.now())

    def _estimated_tick(self) -> int:
        if self._tick_reading is None:
            return 0
        tick, read_at = self._tick_reading
        return tick + int(self._clock.now() - read_at)

    def _record(self, entries: list[claim.Entry]) -> claim_record.ClaimRecord:
        tick = max(self.state.tick, self._estimated_tick())
        step = max(1, self._retention_s // DROP_STEP_DIVISOR)
        drop_before = (tick - self._retention_s) // step * step
        return claim_record.ClaimRecord(
            record_id=uuid.uuid4().hex,
            tick=tick,
            drop_before=max(self.state.drop_before, drop_before),
            entries=entries,
        )

    async def _save(self) -> None:
        try:
            await self._snapshots.save(self.state)
        except errors.PlatformError as error:
            logs.event('snapshot_failed', log=self._prefix, error=str(error))
