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
FULL = ('m0', 'm1', 'm2')
FIRST_WAVE = ('m3', 'm4', 'm5', 'm6', 'm7')
SECOND_WAVE = ('m8', 'm9', 'm10', 'm11')


class Coordination:
    """A lease holder before servers that are full of other models."""

    def __init__(self) -> None:
        self.fleet = worker_fleet.WorkerFleet(9, seed=3)
        for worker in self.fleet.workers:
            worker.contents = {model: set() for model in FULL}
            worker.record_report()
            self.fleet.register(worker)
        routes = route_table.RouteTable()
        routes.replace(routing_parts.configuration(held=worker_fleet.ENGINE))
        self.coordinator = order_coordinator.OrderCoordinator(
            instance_id='instance-1',
            servers=self.fleet.table,
            routes=routes,
            sender=self.fleet,
        )
        self.coordinator.demand.extend_coverage(10, 0)
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
def test_loads_that_unanswered_orders_begin_late_keep_the_ceiling(late_s):
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
