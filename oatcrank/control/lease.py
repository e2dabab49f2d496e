"""Hold a lease in the key-value service, by compare-and-swap only."""

import asyncio
import uuid

import msgspec

from oatcrank import clock, errors, ids, logs
from oatcrank.control import leadership, lease_record
from oatcrank.store import keyvalue

MARGIN_SHARE = 0.2
RENEW_SHARE = 0.3
LOOK_SHARE = 0.5


class Lease(leadership.Leadership):
    """Keep trying for a lease and renew it while it is held.

    No two machines' clocks are compared.  Another's lease is taken over when
    this instance itself has watched the record unchanged for a term; one's
    own is believed for the term less a margin, counted from before the last
    confirmed write was sent.  Safety rests on the fence, not on either.
    """

    def __init__(
        self,
        store: keyvalue.KeyValue,
        key: str,
        *,
        holder: ids.InstanceId,
        incarnation: int,
        term_s: float,
        time: clock.Clock,
    ) -> None:
        """Want the lease at a key in the name of one incarnation."""
        self._store = store
        self._key = key
        self._holder = holder
        self._incarnation = incarnation
        self._term_s = term_s
        self._time = time
        self._seen: keyvalue.Entry | None = None
        self._seen_since_s = time.now()
        self._mine: lease_record.LeaseRecord | None = None
        self._believed_until_s = float('-inf')
        self._pending_text = ''
        self._pending_since_s = time.now()
        self._token = uuid.uuid4().hex
        self._wake = asyncio.Event()
        self._turn = asyncio.Lock()
        self._wanted = True

    def held(self) -> ids.Fence | None:
        """Return the fence while the lease is believed held."""
        if self._mine is None or self._time.now() >= self._believed_until_s:
            return None
        return self._mine.epoch

    async def run(self) -> None:
        """Try and renew until cancelled or released."""
        while self._wanted:
            try:
                await self.attempt()
            except errors.PlatformError as error:
                logs.event('lease_untried', key=self._key, error=error)
            await self._pause()

    def nudge(self) -> None:
        """Look at the lease now, as its holder may be about to go."""
        self._wake.set()

    async def attempt(self) -> None:
        """Renew the lease, or look whether it can be taken over."""
        async with self._turn:
            if not self._wanted:
                return
            if self._mine is None:
                await self._look()
            else:
                await self._renew(self._mine)

    async def release(self) -> None:
        """Give the lease up, so that the next can take over at once."""
        self._wanted = False
        self._believed_until_s = float('-inf')
        self._wake.set()
        async with self._turn:
            mine = self._mine
            self._mine = None
            if mine is None or self._seen is None:
                return
            record = msgspec.structs.replace(mine, released=True)
            try:
                await self._store.put(
                    self._key,
                    _encoded(record),
                    expected=self._seen.revision,
                )
            except errors.PlatformError as error:
                # The next holder then waits for a term.
                logs.event('lease_unreleased', key=self._key, error=error)

    async def _renew(self, mine: lease_record.LeaseRecord) -> None:
        record = msgspec.structs.replace(mine, beat=mine.beat + 1)
        await self._write(record)

    async def _look(self) -> None:
        entry = await self._store.get(self._key)
        if entry is None:
            await self._write(self._next(0))
            return
        if self._seen is None or entry.revision > self._seen.revision:
            self._note(entry)
        record = _decoded(self._seen or entry)
        watched_s = self._time.now() - self._seen_since_s
        if record.released or watched_s >= self._term_s:
            await self._write(self._next(record.epoch))

    def _next(self, epoch: int) -> lease_record.LeaseRecord:
        return lease_record.LeaseRecord(
            holder=self._holder,
            incarnation=self._incarnation,
            token=self._token,
            epoch=ids.Fence(epoch + 1),
            beat=1,
        )

    async def _write(self, record: lease_record.LeaseRecord) -> None:
        """Write over the record last seen, and settle a lost answer."""
        text = _encoded(record)
        if text != self._pending_text:
            # A repeated write counts from its first sending.
            self._pending_text = text
            self._pending_since_s = self._time.now()
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
            await self._settle(text, sent_s)
            return
        self._believe(keyvalue.Entry(text, revision), sent_s)

    async def _settle(self, text: str, sent_s: float) -> None:
        entry = await self._store.get(self._key)
        if entry is None or self._is_old(entry):
            # Not visible: the next attempt writes over the same record.
            return
        if entry.value == text:
            self._believe(entry, sent_s)
            return
        if not self._is_mine(_decoded(entry)):
            self._mine = None
        self._note(entry)

    def _is_old(self, entry: keyvalue.Entry) -> bool:
        return self._seen is not None and entry.revision <= self._seen.revision

    def _is_mine(self, found: lease_record.LeaseRecord) -> bool:
        return self._mine is not None and found == msgspec.structs.replace(
            self._mine,
            beat=found.beat,
        )

    def _believe(self, entry: keyvalue.Entry, sent_s: float) -> None:
        self._note(entry)
        self._mine = _decoded(entry)
        self._believed_until_s = sent_s + self._term_s * (1 - MARGIN_SHARE)

    def _note(self, entry: keyvalue.Entry) -> None:
        self._seen = entry
        self._seen_since_s = self._time.now()

    async def _pause(self) -> None:
        share = LOOK_SHARE if self._mine is None else RENEW_SHARE
        self._wake.clear()
        try:
            async with asyncio.timeout(self._term_s * share):
                await self._wake.wait()
        except TimeoutError:
            return


def _encoded(record: lease_record.LeaseRecord) -> str:
    return msgspec.json.encode(record).decode()


def _decoded(entry: keyvalue.Entry) -> lease_record.LeaseRecord:
    try:
        return msgspec.json.decode(entry.value, type=lease_record.LeaseRecord)
    except msgspec.MsgspecError as error:
        raise errors.Unavailable(f'unreadable lease: {error}') from error
