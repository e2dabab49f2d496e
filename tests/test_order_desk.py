"""Test the order coordinator with concurrent placement requests."""

import asyncio
import time

import pytest
import routing_parts
import virtual
import worker_fleet

from oatcrank.orders import lease_term, order_coordinator, placement_status
from oatcrank.routing import need, route_table

SERVICE = worker_fleet.SERVICE


def run_coordinator(work, workers=3):
    async def run():
        fleet = worker_fleet.WorkerFleet(workers, seed=3)
        routes = route_table.RouteTable()
        routes.replace(routing_parts.configuration(held=worker_fleet.ENGINE))
        coordinator = order_coordinator.OrderCoordinator(
            instance_id='instance-1',
            servers=fleet.table,
            routes=routes,
            sender=fleet,
        )
        term = lease_term.begin(
            fence=1,
            sent_s=0,
            now_s=0,
            own_orders_end_s=-1e9,
            first=True,
        )
        term.renew(1e9)
        coordinator.begin_term(term)
        # Wait until the workers' reports are accepted.
        await asyncio.sleep(1)
        await work(fleet, coordinator)
        assert not fleet.violations

    virtual.run(run())


def holders(fleet, model):
    return sum(model in worker.contents for worker in fleet.workers)


def test_concurrent_requests_for_adapters_load_a_missing_model_once():
    async def work(fleet, coordinator):
        needs = [need.Need(SERVICE, 'm0', f'a{n}') for n in range(1, 4)]
        await asyncio.gather(
            *(coordinator.request_placement(wanted, ()) for wanted in needs)
        )
        await asyncio.sleep(3)
        assert holders(fleet, 'm0') == 1
        assert len(fleet.store_loads) == 1

    run_coordinator(work)


def test_the_duration_of_a_load_is_returned_before_it_ends():
    async def work(fleet, coordinator):
        began_s = asyncio.get_running_loop().time()
        placed = await coordinator.request_placement(
            need.Need(SERVICE, 'm0'), ()
        )
        took_s = asyncio.get_running_loop().time() - began_s
        assert took_s <= order_coordinator.ANSWER_WITHIN_S + 0.01
        assert placed.server_id is None
        assert 0 < placed.wait_s <= 1.1

    run_coordinator(work)


def test_an_adapter_is_loaded_when_a_server_is_returned():
    async def work(fleet, coordinator):
        await coordinator.request_placement(need.Need(SERVICE, 'm0'), ())
        await asyncio.sleep(1.5)
        wanted = need.Need(SERVICE, 'm0', 'a1')
        placed = await coordinator.request_placement(wanted, ())
        (holder,) = (
            worker for worker in fleet.workers if 'm0' in worker.contents
        )
        assert placed.server_id == holder.registration().server_id
        assert 'a1' in holder.contents['m0']

    run_coordinator(work)


def test_unusable_servers_are_excluded():
    async def work(fleet, coordinator):
        await coordinator.request_placement(need.Need(SERVICE, 'm0'), ())
        await asyncio.sleep(1.5)
        (holder,) = (
            worker for worker in fleet.workers if 'm0' in worker.contents
        )
        unusable = (holder.registration().server_id,)
        placed = await coordinator.request_placement(
            need.Need(SERVICE, 'm0'), unusable
        )
        await asyncio.sleep(2)
        assert placed.server_id is None
        assert holders(fleet, 'm0') == 2

    run_coordinator(work)


@pytest.mark.parametrize(
    ('model', 'reason'),
    [(None, 'no model named'), ('unknown', 'no server can load the model')],
)
def test_unplaceable_needs(model, reason):
    async def work(fleet, coordinator):
        with pytest.raises(placement_status.PlacementError, match=reason):
            await coordinator.request_placement(need.Need(SERVICE, model), ())

    run_coordinator(work)


def test_without_a_lease_term_nothing_is_ordered():
    async def work(fleet, coordinator):
        coordinator.stop()
        with pytest.raises(placement_status.PlacementError):
            await coordinator.request_placement(need.Need(SERVICE, 'm0'), ())
        assert not fleet.store_loads

    run_coordinator(work)


async def settled(work):
    """Return the result of a placement request, or its PlacementError."""
    try:
        return await work
    except placement_status.PlacementError as error:
        return error


def test_an_unreachable_server_is_not_chosen_repeatedly():
    """Each placement on it fails, and its caller must ask again."""

    async def work(fleet, coordinator):
        wanted = need.Need(SERVICE, 'm0')
        fleet.workers[0].reachable = False
        results = []
        for _ in range(8):
            results.append(
                await settled(coordinator.request_placement(wanted, ()))
            )
            await asyncio.sleep(0.3)
        assert holders(fleet, 'm0') == 1
        failures = [
            result for result in results if isinstance(result, Exception)
        ]
        assert len(failures) <= 1

    run_coordinator(work, workers=2)


def test_servers_that_this_instance_has_suspended_are_not_chosen():
    async def work(fleet, coordinator):
        now_s = time.monotonic()
        for number in (0, 1):
            fleet.table.by_id[f'server-{number}'].suspend(now_s)
        await coordinator.request_placement(need.Need(SERVICE, 'm0'), ())
        await asyncio.sleep(2)
        assert 'm0' in fleet.workers[2].contents

    run_coordinator(work, workers=3)


def test_an_order_without_an_answer_is_retried_at_once():
    """Waiting for a report instead would delay all orders to the server."""

    async def work(fleet, coordinator):
        fleet.deliveries = ['late']
        placed = await coordinator.request_placement(
            need.Need(SERVICE, 'm0'), ()
        )
        assert placed.wait_s <= 1.1
        await asyncio.sleep(1.2)
        assert holders(fleet, 'm0') == 1
        # The first copy has arrived by now and was rejected.
        await asyncio.sleep(7)
        assert holders(fleet, 'm0') == 1
        assert len(fleet.store_loads) == 1

    run_coordinator(work, workers=1)


def test_the_log_tells_a_loads_decision_from_its_order_and_its_end(messages):
    async def work(fleet, coordinator):
        await coordinator.request_placement(need.Need(SERVICE, 'm0'), ())
        await asyncio.sleep(1.5)
        await coordinator.request_placement(need.Need(SERVICE, 'm0'), ())

    run_coordinator(work)
    named = {
        message['message_type']: message
        for message in messages
        if message['message_type'] in {'load_ordered', 'load_finished'}
    }
    ordered, finished = named['load_ordered'], named['load_finished']
    assert (ordered['from_store'], ordered['waited_s']) == (True, 0)
    assert ordered['store_loads'] == 1
    assert finished['expected_s'] == pytest.approx(1)
    assert finished['took_s'] >= 1
