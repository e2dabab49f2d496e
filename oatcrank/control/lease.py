"""Acquire and renew a lease in the key-value service by compare-and-swap."""

import asyncio
import uuid

import msgspec

from oatcrank import clock, decoding, errors, ids, logs
from oatcrank.control import leadership, lease_record
from oatcrank.store import keyvalue

HELD_MARGIN_SHARE = 0.2
RENEW_SHARE = 0.3
CHECK_SHARE = 0.5


class Lease(leadership.Leadership):
    """Acquire a lease and renew it while it is held.

    Clocks of different hosts are never compared.  Another instance's lease is
    taken over after this instance has seen the record unchanged for a whole
    term.  This instance's own lease counts as held for the term less a margin,
    from before the last confirmed write was sent.  Safety depends on the
    fence, not on these times.
    """

    def __init__(
        self,
        store: keyvalue.KeyValue,
        key: str,
        *,
        holder: ids.InstanceId,
        incarnation: int,
        term_s: float,
        clock: clock.Clock,
    ) -> None:
        """Contend for the lease at a key as one incarnation."""
        self._store = store
        self._key = key
        self._holder = holder
        self._incarnation = incarnation
        self._term_s = term_s
        self._clock = clock
        self._seen: keyvalue.Entry | None = None
        self._seen_since_s = clock.now()
        self._own_record: lease_record.LeaseRecord | None = None
        self._held_until_s = float('-inf')
        self._pending_text = ''
        self._pending_since_s = clock.now()
        self._token = uuid.uuid4().hex
        self._wake = asyncio.Event()
        self._lock = asyncio.Lock()
        self._active = True

    def held_fence(self) -> ids.Fence | None:
        """Return the fence while the lease counts as held."""
        if self._own_record is None or self._clock.now() >= self._held_until_s:
            return None
        return self._own_record.fence

    async def run(self) -> None:
        """Acquire and renew until cancelled or released."""
        while self._active:
            try:
                await self.acquire_or_renew()
            except errors.PlatformError as error:
                logs.event('lease_attempt_failed', key=self._key, error=error)
            await self._pause()

    def check_now(self) -> None:
        """Check the lease now, as its holder may be about to leave."""
        self._wake.set()

    async def acquire_or_renew(self) -> None:
        """Renew the lease, or take it over if it has expired."""
        async with self._lock:
            if not self._active:
                return
            if self._own_record is None:
                await self._try_take_over()
            else:
                await self._renew(self._own_record)

    async def release(self) -> None:
        """Release the lease so that another instance can take over at once."""
        self._active = False
        self._held_until_s = float('-inf')
        self._wake.set()
        async with self._lock:
            own = self._own_record
            self._own_record = None
            if own is None or self._seen is None:
                return
            record = msgspec.structs.replace(own, released=True)
            try:
                await self._store.put(
                    self._key,
                    _encode(record),
                    expected=self._seen.revision,
                )
            except errors.PlatformError as error:
                # The next holder waits for the term to expire.
                logs.event('lease_release_failed', key=self._key, error=error)

    async def _renew(self, own: lease_record.LeaseRecord) -> None:
        record = msgspec.structs.replace(own, heartbeat=own.heartbeat + 1)
        await self._write(record)

    async def _try_take_over(self) -> None:
        entry = await self._store.get(self._key)
        if entry is None:
            await self._write(self._next_record(0))
            return
        if self._seen is None or entry.revision > self._seen.revision:
            self._observe(entry)
        record = _decode(self._seen or entry)
        watched_s = self._clock.now() - self._seen_since_s
        if record.released or watched_s >= self._term_s:
            await self._write(self._next_record(record.fence))

    def _next_record(self, last_fence: int) -> lease_record.LeaseRecord:
        return lease_record.LeaseRecord(
            holder=self._holder,
            incarnation=self._incarnation,
            token=self._token,
            fence=ids.Fence(last_fence + 1),
            heartbeat=1,
        )

    async def _write(self, record: lease_record.LeaseRecord) -> None:
        """Replace the record last seen, and resolve a lost reply."""
        text = _encode(record)
        if text != self._pending_text:
            # The term of a retried write starts at its first attempt.
            self._pending_text = text
            self._pending_since_s = self._clock.now()
        sent_s = self._pending_since_s
        expected = (
            keyvalue.ABSENT if self._seen is None else self._seen.revision
        )
        try:
            revision = await self._store.put(
                self._key,
                text,
                expected=expected,
            )
        except (errors.Conflict, errors.UnknownOutcome):
            await self._resolve_write(text, sent_s)
            return
        self._confirm(keyvalue.Entry(text, revision), sent_s)

    async def _resolve_write(self, text: str, sent_s: float) -> None:
        entry = await self._store.get(self._key)
        if entry is None or self._is_stale(entry):
            # Not visible yet; the next attempt replaces the same record.
            return
        if entry.value == text:
            self._confirm(entry, sent_s)
            return
        if not self._is_own(_decode(entry)):
            self._own_record = None
        self._observe(entry)

    def _is_stale(self, entry: keyvalue.Entry) -> bool:
        return self._seen is not None and entry.revision <= self._seen.revision

    def _is_own(self, record: lease_record.LeaseRecord) -> bool:
        return (
            self._own_record is not None
            and record
            == msgspec.structs.replace(
                self._own_record,
                heartbeat=record.heartbeat,
            )
        )

    def _confirm(self, entry: keyvalue.Entry, sent_s: float) -> None:
        self._observe(entry)
        self._own_record = _decode(entry)
        self._held_until_s = sent_s + self._term_s * (1 - HELD_MARGIN_SHARE)

    def _observe(self, entry: keyvalue.Entry) -> None:
        self._seen = entry
        self._seen_since_s = self._clock.now()

    async def _pause(self) -> None:
        share = CHECK_SHARE if self._own_record is None else RENEW_SHARE
        self._wake.clear()
        try:
            async with asyncio.timeout(self._term_s * share):
                await self._wake.wait()
        except TimeoutError:
            return


def _encode(record: lease_record.LeaseRecord) -> str:
    return msgspec.json.encode(record).decode()


def _decode(entry: keyvalue.Entry) -> lease_record.LeaseRecord:
    try:
        return decoding.from_json(
            entry.value, expected=lease_record.LeaseRecord
        )
    except msgspec.MsgspecError as error:
        raise errors.Unavailable(f'invalid lease record: {error}') from error
