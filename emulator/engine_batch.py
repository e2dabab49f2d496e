"""Run an engine stand-in's requests in one batch."""

import asyncio
import collections
import heapq
import itertools
import os

from emulator import (
    engine_config,
    engine_faults,
    fault_box,
    ledger,
    ledger_entry,
    work,
)

TICK_S = 0.02
MILLISECONDS_IN_SECOND = 1000
CRASH_STATUS = 70

Queued = tuple[int, int, work.Work]


class EngineBatch:
    """Run as many requests as there are slots and queue the rest."""

    def __init__(
        self,
        config: engine_config.EngineConfig,
        faults: fault_box.FaultBox[engine_faults.EngineFaults],
    ) -> None:
        """Start idle."""
        self.ledger = ledger.Ledger()
        self.running: list[work.Work] = []
        self._config = config
        self._faults = faults
        self._queue: list[Queued] = []
        self._numbers = itertools.count()
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._awake = asyncio.Event()

    @property
    def queued(self) -> list[work.Work]:
        """Return the requests that wait for a slot, in no order."""
        return [waiting for _, _, waiting in self._queue]

    @property
    def is_full(self) -> bool:
        """Return whether the queue takes no more."""
        free = len(self.running) < self._config.slots
        return not free and len(self._queue) >= self._config.queue_limit

    def submit(self, wanted: work.Work) -> None:
        """Run a request now or when its turn comes."""
        heapq.heappush(
            self._queue,
            (wanted.asked.priority, next(self._numbers), wanted),
        )
        self._fill()

    def stop(self, wanted: work.Work, end: work.End) -> None:
        """End a request, running or queued, before it is finished."""
        if wanted.end.done():
            return
        wanted.end.set_result(end)
        if wanted in self.running:
            self.running.remove(wanted)
            self._close(wanted, cancelled=True)
        else:
            self._queue = [
                queued for queued in self._queue if queued[2] is not wanted
            ]
            heapq.heapify(self._queue)
        self._fill()

    async def run(self) -> None:
        """Hand out tokens, tick by tick."""
        while True:
            await self._awake.wait()
            self._tick()
            if not self.running:
                self._awake.clear()
            await asyncio.sleep(TICK_S)

    def _fill(self) -> None:
        while self._queue and len(self.running) < self._config.slots:
            self._start(heapq.heappop(self._queue)[2])

    def _start(self, wanted: work.Work) -> None:
        asked = wanted.asked
        wanted.entry = ledger_entry.LedgerEntry(
            request_id=asked.request_id,
            model=asked.model,
            adapter=asked.adapter,
        )
        self.ledger.begin(wanted.entry)
        self.running.append(wanted)
        now = asyncio.get_running_loop().time()
        wanted.start(now + self._first_token_s(asked.prefix_id))
        self._awake.set()

    def _first_token_s(self, prefix_id: str) -> float:
        whole = self._config.first_token_ms / MILLISECONDS_IN_SECOND
        if not prefix_id:
            return whole
        hit = prefix_id in self._prefixes
        self._prefixes[prefix_id] = None
        self._prefixes.move_to_end(prefix_id)
        if len(self._prefixes) > self._config.prefixes_kept:
            self._prefixes.popitem(last=False)
        return whole * self._config.prefix_hit_share if hit else whole

    def _tick(self) -> None:
        if self._faults.current.down:
            self._cut_all()
        now = asyncio.get_running_loop().time()
        crash_on = self._faults.current.crash_on
        cut_after = self._faults.current.cut_stream_after
        for wanted in list(self.running):
            if crash_on and crash_on in wanted.asked.text:
                os._exit(CRASH_STATUS)
            if wanted.advance(now, self._config.tokens_per_s):
                self._finish(wanted)
            elif cut_after is not None and len(wanted.texts) >= cut_after:
                self.stop(wanted, work.End.cut)

    def _cut_all(self) -> None:
        for wanted in (*self.queued, *self.running):
            self.stop(wanted, work.End.cut)

    def _finish(self, wanted: work.Work) -> None:
        self.running.remove(wanted)
        self._close(wanted, cancelled=False)
        if not wanted.end.done():
            wanted.end.set_result(work.End.finished)
        self._fill()

    def _close(self, wanted: work.Work, *, cancelled: bool) -> None:
        if wanted.entry is not None:
            wanted.entry.tokens = len(wanted.texts) - wanted.asked.resume_from
            self.ledger.end(wanted.entry, cancelled=cancelled)
