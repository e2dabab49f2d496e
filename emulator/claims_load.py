"""Send claims at a steady rate and measure their outcomes."""

import asyncio
import time

import msgspec
from hdrh import histogram

from emulator import claims_fleet, claims_instance
from oatcrank import refusal
from oatcrank.claims import acquired_claim

US_PER_S = 1_000_000
MAX_LATENCY_US = 60 * US_PER_S
SIGNIFICANT_DIGITS = 3
MS_PER_S = 1000
MEDIAN_PERCENTILE = 50
TAIL_PERCENTILE = 99


class ClaimsMeasurement(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one run.

    writes_per_s and reads_per_s are calls of the key-value service, median_ms
    and tail_ms are latencies of acquiring a claim, and cpu_ms is the CPU time
    per request.
    """

    offered: int
    answered: int
    did_not_run: int
    may_have_run: int
    dispatched_twice: int
    seconds: float
    writes_per_s: float
    reads_per_s: float
    median_ms: float
    tail_ms: float
    cpu_ms: float


class ClaimsLoad:
    """Load of requests with distinct keys, sent round robin."""

    def __init__(self, fleet: claims_fleet.ClaimsFleet) -> None:
        """Create a load for a fleet."""
        self._fleet = fleet
        self._acquire_latencies = histogram.HdrHistogram(
            1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
        self._outcomes: list[refusal.RunState | None] = []

    async def run(self, *, rate: float, seconds: float) -> ClaimsMeasurement:
        """Send requests at the rate and measure until all have ended."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        cpu_before_s = time.process_time()
        calls_before = self._fleet.store.calls_by_kind.copy()
        tasks = []
        for number in range(int(rate * seconds)):
            await asyncio.sleep(started + number / rate - loop.time())
            tasks.append(asyncio.create_task(self._send(number)))
        await asyncio.gather(*tasks)
        for instance in self._fleet.instances:
            await instance.claims.drain()
        cpu_s = time.process_time() - cpu_before_s
        elapsed_s = loop.time() - started
        calls = self._fleet.store.calls_by_kind - calls_before
        return ClaimsMeasurement(
            offered=len(tasks),
            answered=self._outcomes.count(None),
            did_not_run=self._outcomes.count(refusal.RunState.did_not_run),
            may_have_run=self._outcomes.count(refusal.RunState.may_have_run),
            dispatched_twice=sum(
                1 for times in self._fleet.ledger.values() if times > 1
            ),
            seconds=elapsed_s,
            writes_per_s=(calls['put'] + calls['delete']) / elapsed_s,
            reads_per_s=calls['get'] / elapsed_s,
            median_ms=self._acquire_ms(MEDIAN_PERCENTILE),
            tail_ms=self._acquire_ms(TAIL_PERCENTILE),
            cpu_ms=cpu_s * MS_PER_S / len(tasks),
        )

    async def _send(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        instances = self._fleet.instances
        instance = instances[number % len(instances)]
        started = loop.time()
        try:
            await self._run(instance, f'key-{number}', started)
        except refusal.Refused as refused:
            self._outcomes.append(refused.refusal.run_state)
        else:
            self._outcomes.append(None)

    async def _run(
        self,
        instance: claims_instance.ClaimsInstance,
        key: str,
        started: float,
    ) -> None:
        claimed = await instance.acquire(key)
        acquire_s = asyncio.get_running_loop().time() - started
        self._acquire_latencies.record_value(max(1, int(acquire_s * US_PER_S)))
        if not isinstance(claimed, acquired_claim.AcquiredClaim):
            await claimed.answer()
        elif instance.dispatch(key, claimed):
            answer = claims_instance.answer_to(key)
            await instance.claims.end(claimed.attempt, answer)

    def _acquire_ms(self, percentile: int) -> float:
        microseconds = self._acquire_latencies.get_value_at_percentile(
            percentile
        )
        return float(microseconds) * MS_PER_S / US_PER_S
