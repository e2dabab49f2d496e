"""Test orders of a holder that registrations no longer reach.

The store turns the holder away, while all other instances confirm its lease.
It does not see in the store that servers have carried out its orders.
"""

import asyncio

import pytest
import worker_fleet
from test_order_desk import run_coordinator

from oatcrank.cluster import order_lease
from oatcrank.orders import boot_clock, demand
from oatcrank.routing import need

SERVICE = worker_fleet.SERVICE
# Bound for a load of one second after an unload.
LOADED_WITHIN_S = 3.0


def cut_from_store(fleet) -> None:
    fleet.register = lambda worker: None


def run_following(work) -> None:
    """Run with one worker, following orders as the lease holder does."""

    async def follow_and_work(fleet, coordinator):
        following = asyncio.ensure_future(follow(coordinator))
        try:
            await work(fleet, coordinator)
        finally:
            following.cancel()

    run_coordinator(follow_and_work, workers=1)


async def follow(coordinator) -> None:
    while True:
        await asyncio.sleep(order_lease.OVERDUE_CHECK_INTERVAL_S)
        await coordinator.refresh_overdue()


def record_demand(coordinator, wanted, per_second) -> None:
    """Record ten seconds of demand, so that other models may be evicted."""
    now_s = boot_clock.now()
    coordinator.demand.extend_coverage(demand.WINDOW_S, now_s)
    for second in range(int(demand.WINDOW_S)):
        coordinator.demand.note(
            demand.DemandSample(
                wanted, per_second, counted_s_ago=float(second)
            ),
            now_s,
        )


async def load(coordinator, model) -> None:
    await coordinator.request_placement(need.Need(SERVICE, model), ())
    await asyncio.sleep(2)


@pytest.mark.parametrize('unload_s', [0.1, 0.6, 2.0])
def test_a_load_follows_the_unload_before_it(unload_s):
    async def work(fleet, coordinator):
        (worker,) = fleet.workers
        worker.unload_s = unload_s
        for model in ('m0', 'm1', 'm2'):
            await load(coordinator, model)
        cut_from_store(fleet)
        wanted = need.Need(SERVICE, 'm5')
        record_demand(coordinator, wanted, 5)
        await coordinator.request_placement(wanted, ())
        await asyncio.sleep(LOADED_WITHIN_S + unload_s)
        assert 'm5' in worker.contents

    run_following(work)


def test_a_finished_load_is_returned_to_those_who_ask():
    async def work(fleet, coordinator):
        cut_from_store(fleet)
        wanted = need.Need(SERVICE, 'm0')
        await coordinator.request_placement(wanted, ())
        await asyncio.sleep(LOADED_WITHIN_S)
        placed = await coordinator.request_placement(wanted, ())
        assert placed.server_id == 'server-0'

    run_following(work)


def test_a_server_takes_one_load_after_another():
    async def work(fleet, coordinator):
        (worker,) = fleet.workers
        cut_from_store(fleet)
        for model in ('m0', 'm1'):
            await coordinator.request_placement(need.Need(SERVICE, model), ())
            await asyncio.sleep(LOADED_WITHIN_S)
        assert set(worker.contents) == {'m0', 'm1'}

    run_following(work)


def test_no_reports_are_read_while_registrations_arrive():
    """Each report costs the server a request."""

    async def work(fleet, coordinator):
        reports = []
        read = fleet.report

        async def counted(registration):
            reports.append(registration)
            return await read(registration)

        fleet.report = counted
        for model in ('m0', 'm1', 'm2'):
            await load(coordinator, model)
        # One at the start, when the contents of the server are unknown.
        assert len(reports) <= 1

    run_following(work)
