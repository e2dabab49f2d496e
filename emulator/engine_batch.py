"""Run the requests of an engine stand-in as one batch."""

import asyncio
import collections
import heapq
import itertools
import os

from emulator import (
    active_faults,
    engine_config,
    engine_faults,
    engine_job,
    ledger,
    ledger_entry,
)

TICK_S = 0.02
MS_PER_S = 1000
CRASH_STATUS = 70

QueuedJob = tuple[int, int, engine_job.EngineJob]


class EngineBatch:
    """Run up to one request per slot and queue the rest."""

    def __init__(
        self,
        config: engine_config.EngineConfig,
        faults: active_faults.ActiveFaults[engine_faults.EngineFaults],
    ) -> None:
        """Create an empty batch."""
        self.ledger = ledger.Ledger()
        self.running: list[engine_job.EngineJob] = []
        self._config = config
        self._faults = faults
        self._queue: list[QueuedJob] = []
        self._sequence = itertools.count()
        self._cached_prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._has_running = asyncio.Event()

    @property
    def queued(self) -> list[engine_job.EngineJob]:
        """Return the requests that wait for a slot, unordered."""
        return [job for _, _, job in self._queue]

    @property
    def is_full(self) -> bool:
        """Return whether all slots are used and the queue is full."""
        has_free_slot = len(self.running) < self._config.slots
        return (
            not has_free_slot and len(self._queue) >= self._config.queue_limit
        )

    def submit(self, job: engine_job.EngineJob) -> None:
        """Queue a request by priority; it starts when a slot is free."""
        heapq.heappush(
            self._queue,
            (job.request.priority, next(self._sequence), job),
        )
        self._start_queued()

    def stop(self, job: engine_job.EngineJob, end: engine_job.JobEnd) -> None:
        """End a running or queued request before it is finished."""
        if job.end.done():
            return
        job.end.set_result(end)
        if job in self.running:
            self.running.remove(job)
            self._record_end(job, cancelled=True)
        else:
            self._queue = [
                queued for queued in self._queue if queued[2] is not job
            ]
            heapq.heapify(self._queue)
        self._start_queued()

    async def run(self) -> None:
        """Generate tokens of the running requests on every tick."""
        while True:
            await self._has_running.wait()
            self._tick()
            if not self.running:
                self._has_running.clear()
            await asyncio.sleep(TICK_S)

    def _start_queued(self) -> None:
        while self._queue and len(self.running) < self._config.slots:
            self._start(heapq.heappop(self._queue)[2])

    def _start(self, job: engine_job.EngineJob) -> None:
        body = job.request
        job.entry = ledger_entry.LedgerEntry(
            request_id=body.request_id,
            model=body.model,
            adapter=body.adapter,
        )
        self.ledger.begin(job.entry)
        self.running.append(job)
        now = asyncio.get_running_loop().time()
        job.start(now + self._first_token_s(body.prefix_id))
        self._has_running.set()

    def _first_token_s(self, prefix_id: str) -> float:
        uncached_s = self._config.first_token_ms / MS_PER_S
        if not prefix_id:
            return uncached_s
        is_cached = prefix_id in self._cached_prefixes
        self._cached_prefixes[prefix_id] = None
        self._cached_prefixes.move_to_end(prefix_id)
        if len(self._cached_prefixes) > self._config.prefixes_kept:
            self._cached_prefixes.popitem(last=False)
        return (
            uncached_s * self._config.prefix_hit_share
            if is_cached
            else uncached_s
        )

    def _tick(self) -> None:
        if self._faults.current.down:
            self._cut_all()
        now = asyncio.get_running_loop().time()
        crash_on = self._faults.current.crash_on
        cut_after = self._faults.current.cut_stream_after
        for job in list(self.running):
            if crash_on and crash_on in job.request.text:
                os._exit(CRASH_STATUS)
            if job.advance(now, self._config.tokens_per_s):
                self._finish(job)
            elif cut_after is not None and len(job.texts) >= cut_after:
                self.stop(job, engine_job.JobEnd.cut)

    def _cut_all(self) -> None:
        for job in (*self.queued, *self.running):
            self.stop(job, engine_job.JobEnd.cut)

    def _finish(self, job: engine_job.EngineJob) -> None:
        self.running.remove(job)
        self._record_end(job, cancelled=False)
        if not job.end.done():
            job.end.set_result(engine_job.JobEnd.finished)
        self._start_queued()

    def _record_end(
        self, job: engine_job.EngineJob, *, cancelled: bool
    ) -> None:
        if job.entry is not None:
            job.entry.tokens = len(job.texts) - job.request.resume_from
            self.ledger.end(job.entry, cancelled=cancelled)
