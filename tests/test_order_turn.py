"""Test which instance may send orders while instances and the store fail."""

import cluster_parts
import pytest
import virtual

from emulator import memory_store
from oatcrank.cluster import holder_records

FAULT = memory_store.StoreFault


def run_fleet(scenario, count=3):
    async def run():
        fleet = cluster_parts.Fleet(count)
        fleet.start()
        try:
            return await scenario(fleet)
        finally:
            await fleet.stop()

    return virtual.run(run())


def test_exactly_one_instance_sends_orders():
    async def scenario(fleet):
        await fleet.wait_for_holder(3)
        assert await fleet.observe(1.0) > 0.7

    run_fleet(scenario)


def test_killed_holder_is_replaced_when_its_lease_ends():
    async def scenario(fleet):
        first = await fleet.wait_for_holder(3)
        await first.kill()
        await fleet.wait_for_holder(3.5, other_than=first)

    run_fleet(scenario)


def test_successor_waits_for_the_lease_term_of_a_frozen_holder():
    """A frozen holder can't confirm a stop, so its term must expire first."""

    async def scenario(fleet):
        first = await fleet.wait_for_holder(3)
        fleet.network.frozen.add(first.address)
        first.client.fault = FAULT.down
        second = await fleet.wait_for_holder(6, other_than=first)
        assert second is not first

    run_fleet(scenario)


def test_holder_cut_off_from_the_store_stops_on_request():
    async def scenario(fleet):
        first = await fleet.wait_for_holder(3)
        first.client.fault = FAULT.down
        second = await fleet.wait_for_holder(5, other_than=first)
        assert second is not first
        assert await fleet.observe(0.5) > 0.35

    run_fleet(scenario)


def test_holder_keeps_sending_orders_while_the_store_is_down_for_all():
    async def scenario(fleet):
        first = await fleet.wait_for_holder(3)
        for instance in fleet.members:
            instance.client.fault = FAULT.down
        assert await fleet.observe(3.0) > 2.4
        assert fleet.holder() is first
        for instance in fleet.members:
            instance.client.fault = FAULT.none
        await fleet.observe(2.0)
        await fleet.wait_for_holder(2)

    run_fleet(scenario)


def test_orders_stop_unless_all_peers_confirm_the_holder():
    async def scenario(fleet):
        await fleet.wait_for_holder(3)
        for instance in fleet.members:
            instance.client.fault = FAULT.down
        other = fleet.non_holder()
        fleet.network.cut.add(other.address)
        await fleet.observe(1.6)
        assert fleet.holder() is None

    run_fleet(scenario)


def test_revoked_lease_moves_without_overlap():
    async def scenario(fleet):
        first = await fleet.wait_for_holder(3)
        fleet.shared.remove(holder_records.HOLDER_KEY)
        await fleet.observe(3.0)
        assert fleet.holder() is not None
        assert first is not None

    run_fleet(scenario)


def test_planned_stop_hands_the_lease_over():
    async def scenario(fleet):
        first = await fleet.wait_for_holder(3)
        await first.order_lease.release()
        await fleet.wait_for_holder(1.5, other_than=first)

    run_fleet(scenario)


@pytest.mark.parametrize('fault', [FAULT.answer_lost, FAULT.down])
def test_acquisition_with_a_lost_answer_is_resolved(fault):
    async def scenario(fleet):
        for instance in fleet.members:
            instance.client.fault = fault
        await fleet.observe(1.0)
        for instance in fleet.members:
            instance.client.fault = FAULT.none
        await fleet.wait_for_holder(5)

    run_fleet(scenario)
