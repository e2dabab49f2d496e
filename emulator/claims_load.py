"""Offer claims at a steady rate and see what becomes of them."""

import asyncio
import time

import msgspec
from hdrh import histogram

from emulator import claims_fleet, claims_instance
from oatcrank import refusal
from oatcrank.claims import acquired_claim

MICROSECONDS = 1_000_000
MAX_MICROSECONDS = 60 * MICROSECONDS
DIGITS = 3
MS_PER_S = 1000
MEDIAN = 50
TAIL = 99


class ClaimsFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what one run gave; rates are per second."""

    offered: int
    answered: int
    did_not_run: int
    may_have_run: int
    dispatched_twice: int
    seconds: float
    writes: float
    reads: float
    median_ms: float
    tail_ms: float
    core_ms: float


class ClaimsLoad:
    """Run requests with a key each, spread over a fleet's instances."""

    def __init__(self, fleet: claims_fleet.ClaimsFleet) -> None:
        """Start with nothing offered."""
        self._fleet = fleet
        self._waits = histogram.HdrHistogram(1, MAX_MICROSECONDS, DIGITS)
        self._outcomes: list[refusal.RunState | None] = []

    async def run(self, *, rate: float, seconds: float) -> ClaimsFigures:
        """Offer at the rate and return the figures once all have ended."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        core_before = time.process_time()
        calls_before = self._fleet.store.calls_by_kind.copy()
        tasks = []
        for number in range(int(rate * seconds)):
            await asyncio.sleep(started + number / rate - loop.time())
            tasks.append(asyncio.create_task(self._one(number)))
        await asyncio.gather(*tasks)
        for instance in self._fleet.instances:
            await instance.claims.drain()
        core_s = time.process_time() - core_before
        spent = loop.time() - started
        calls = self._fleet.store.calls_by_kind - calls_before
        return ClaimsFigures(
            offered=len(tasks),
            answered=self._outcomes.count(None),
            did_not_run=self._outcomes.count(refusal.RunState.did_not_run),
            may_have_run=self._outcomes.count(refusal.RunState.may_have_run),
            dispatched_twice=sum(
                1 for times in self._fleet.ledger.values() if times > 1
            ),
            seconds=spent,
            writes=(calls['put'] + calls['delete']) / spent,
            reads=calls['get'] / spent,
            median_ms=self._wait_ms(MEDIAN),
            tail_ms=self._wait_ms(TAIL),
            core_ms=core_s * MS_PER_S / len(tasks),
        )

    async def _one(self, number: int) -> None:
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
        begun = await instance.begin(key)
        waited = asyncio.get_running_loop().time() - started
        self._waits.record_value(max(1, int(waited * MICROSECONDS)))
        if not isinstance(begun, acquired_claim.AcquiredClaim):
            await begun.answer()
        elif instance.dispatch(key, begun):
            answer = claims_instance.answer_to(key)
            await instance.claims.end(begun.attempt, answer)

    def _wait_ms(self, percentile: int) -> float:
        microseconds = self._waits.get_value_at_percentile(percentile)
        return float(microseconds) * MS_PER_S / MICROSECONDS
