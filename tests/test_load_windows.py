"""Test when the loads begin that the limit of the weight store counts.

Load pattern: demand moves to models that no server holds, and each server
first ends the runs of the models that it unloads.
"""

import asyncio

import pytest
import routing_parts
import virtual
import worker_fleet

from oatcrank.orders import (
    demand,
    lease_term,
    order_coordinator,
    placement_status,
)
from oatcrank.routing import need, route_table

SERVICE = worker_fleet.SERVICE
LIMIT_WINDOW_S = worker_fleet.LIMIT_WINDOW_S
FULL = ('m0', 'm1', 'm2')
FIRST_WAVE = ('m3', 'm4', 'm5', 'm6', 'm7')
SECOND_WAVE = ('m8', 'm9', 'm10', 'm11')


def _full_fleet() -> worker_fleet.WorkerFleet:
    fleet = worker_fleet.WorkerFleet(9, seed=3)
    for worker in fleet.workers:
        worker.contents = {model: set() for model in FULL}
        worker.record_report()
        fleet.register(worker)
    return fleet


class Coordination:
    """A lease holder before servers that are full of other models."""

    def __init__(self, fleet: worker_fleet.WorkerFleet | None = None) -> None:
        """Order at a fleet that an earlier holder has used, or at a new one."""
        self.fleet = _full_fleet() if fleet is None else fleet
        routes = route_table.RouteTable()
        routes.replace(routing_parts.configuration(held=worker_fleet.ENGINE))
        self.coordinator = order_coordinator.OrderCoordinator(
            instance_id='instance-1',
            servers=self.fleet.table,
            routes=routes,
            sender=self.fleet,
        )
        self.coordinator.demand.extend_coverage(10, 0)
        self.fence = 1
        self._tasks = set()

    async def begin(self) -> None:
        """Begin the first term of the lease, and wait for the reports."""
        now_s = asyncio.get_running_loop().time()
        term = lease_term.begin(
            fence=1,
            sent_s=now_s,
            now_s=now_s,
            own_orders_end_s=-1e9,
            first=True,
        )
        term.renew(1e9)
        self.coordinator.begin_term(term)
        await asyncio.sleep(1)

    def succeed(self, former, acquired_s, stopped_s, *, asked) -> None:
        """Begin a term after a former holder, which may have been asked."""
        self.fence = former.fence + 1
        term = lease_term.begin(
            fence=self.fence,
            sent_s=acquired_s,
            now_s=acquired_s,
            own_orders_end_s=-1e9,
            first=False,
        )
        if asked:
            term.set_former_stopped(stopped_s, former.coordinator.store_loads())
        term.renew(1e9)
        self.coordinator.begin_term(term)

    def request(self, models) -> None:
        """Request placements as instances do while callers wait."""
        now_s = asyncio.get_running_loop().time()
        for model in models:
            wanted = need.Need(SERVICE, model)
            self.coordinator.demand.note(
                demand.DemandSample(wanted, 50, busy_s=50), now_s
            )
            task = asyncio.ensure_future(self._request_until_held(wanted))
            self._tasks.add(task)

    async def _request_until_held(self, wanted) -> None:
        while True:
            try:
                placed = await self.coordinator.request_placement(wanted, ())
            except placement_status.PlacementError:
                placed = None
            if placed is not None and placed.server_id is not None:
                return
            await asyncio.sleep(0.1)

    def set_unload_s(self, unload_s: float) -> None:
        for worker in self.fleet.workers:
            worker.unload_s = unload_s


@pytest.mark.parametrize('unload_s', [0.1, 2.0, 4.0, 4.8, 5.5])
def test_more_loads_begin_than_the_store_allows(unload_s):
    """A load begins when its unload has ended, seconds after its decision."""

    async def run():
        coordination = Coordination()
        await coordination.begin()
        coordination.set_unload_s(unload_s)
        coordination.request(FIRST_WAVE)
        await asyncio.sleep(4.5)
        coordination.set_unload_s(0.1)
        coordination.request(SECOND_WAVE)
        await asyncio.sleep(30)
        assert len(coordination.fleet.store_loads) >= len(
            FIRST_WAVE + SECOND_WAVE
        )
        assert not coordination.fleet.violations

    virtual.run(run())


@pytest.mark.parametrize('late_s', [1.0, 3.0, 4.5, 6.0, 9.0, 11.9])
def test_loads_of_unanswered_orders_begin_beyond_the_ceiling(late_s):
    """A server may carry out an order seconds after it left it unanswered."""

    async def run():
        coordination = Coordination()
        await coordination.begin()
        coordination.set_unload_s(0.1)
        coordination.fleet.late_s = late_s
        coordination.fleet.delivery_of_loads = 'late'
        coordination.request(FIRST_WAVE)
        await asyncio.sleep(4.5)
        coordination.fleet.delivery_of_loads = 'answered'
        coordination.request(SECOND_WAVE)
        await asyncio.sleep(30)
        assert not coordination.fleet.violations

    virtual.run(run())


@pytest.mark.parametrize('asked', [True, False])
@pytest.mark.parametrize('overlap_s', [0.0, 0.7, 1.3])
def test_loads_of_a_former_holder_are_forgotten_too_early(overlap_s, asked):
    """A former holder sends orders until it stops, after the acquisition."""

    async def run():
        former = Coordination()
        await former.begin()
        former.set_unload_s(0.1)
        acquired_s = asyncio.get_running_loop().time()
        await asyncio.sleep(overlap_s)
        former.request(FIRST_WAVE)
        await asyncio.sleep(0.25)
        stopped_s = asyncio.get_running_loop().time()
        former.coordinator.stop()
        successor = Coordination(former.fleet)
        successor.succeed(former, acquired_s, stopped_s, asked=asked)
        await asyncio.sleep(acquired_s + LIMIT_WINDOW_S + 0.05 - stopped_s)
        successor.request(SECOND_WAVE)
        await asyncio.sleep(30)
        assert not successor.fleet.violations

    virtual.run(run())


def test_a_holder_that_ordered_nothing_forgets_what_it_inherited():
    """Its successor may decide loads right after those of its predecessor."""

    async def run():
        first = Coordination()
        await first.begin()
        first.set_unload_s(0.1)
        first.request(FIRST_WAVE)
        await asyncio.sleep(0.25)
        holder = first
        for _ in range(2):
            now_s = asyncio.get_running_loop().time()
            holder.coordinator.stop()
            successor = Coordination(first.fleet)
            successor.succeed(holder, now_s, now_s, asked=True)
            holder = successor
        await asyncio.sleep(1)
        holder.request(SECOND_WAVE)
        await asyncio.sleep(30)
        assert not holder.fleet.violations

    virtual.run(run())
