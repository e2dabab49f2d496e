"""Test which instance may send orders while instances and the store fail."""

import cluster_parts
import pytest
import virtual

from emulator import memory_store
from oatcrank.cluster import order_lease

TROUBLE = memory_store.Trouble


def play(work, count=3):
    async def run():
        fleet = cluster_parts.Fleet(count)
        fleet.start()
        try:
            return await work(fleet)
        finally:
            await fleet.stop()

    return virtual.run(run())


def test_exactly_one_instance_sends_orders():
    async def work(fleet):
        await fleet.until_holder(3)
        assert await fleet.watch(1.0) > 0.7

    play(work)


def test_killed_holder_is_replaced_when_its_lease_ends():
    async def work(fleet):
        first = await fleet.until_holder(3)
        await first.kill()
        await fleet.until_holder(3.5, other_than=first)

    play(work)


def test_successor_waits_for_the_lease_term_of_a_frozen_holder():
    """A frozen holder can't confirm a stop, so its term must expire first."""

    async def work(fleet):
        first = await fleet.until_holder(3)
        fleet.wires.frozen.add(first.address)
        first.client.trouble = TROUBLE.down
        second = await fleet.until_holder(6, other_than=first)
        assert second is not first

    play(work)


def test_holder_cut_off_from_the_store_stops_on_request():
    async def work(fleet):
        first = await fleet.until_holder(3)
        first.client.trouble = TROUBLE.down
        second = await fleet.until_holder(5, other_than=first)
        assert second is not first
        assert await fleet.watch(0.5) > 0.35

    play(work)


def test_holder_keeps_sending_orders_while_the_store_is_down_for_all():
    async def work(fleet):
        first = await fleet.until_holder(3)
        for instance in fleet.members:
            instance.client.trouble = TROUBLE.down
        assert await fleet.watch(3.0) > 2.4
        assert fleet.holder() is first
        for instance in fleet.members:
            instance.client.trouble = TROUBLE.none
        await fleet.watch(2.0)
        await fleet.until_holder(2)

    play(work)


def test_orders_stop_unless_all_peers_confirm_the_holder():
    async def work(fleet):
        await fleet.until_holder(3)
        for instance in fleet.members:
            instance.client.trouble = TROUBLE.down
        other = fleet.a_successor()
        fleet.wires.cut.add(other.address)
        await fleet.watch(1.6)
        assert fleet.holder() is None

    play(work)


def test_revoked_lease_moves_without_overlap():
    async def work(fleet):
        first = await fleet.until_holder(3)
        fleet.shared.revoke(order_lease.HOLDER_KEY)
        await fleet.watch(3.0)
        assert fleet.holder() is not None
        assert first is not None

    play(work)


def test_planned_stop_hands_the_lease_over():
    async def work(fleet):
        first = await fleet.until_holder(3)
        await first.order_lease.release()
        await fleet.until_holder(1.5, other_than=first)

    play(work)


@pytest.mark.parametrize('trouble', [TROUBLE.lost, TROUBLE.down])
def test_acquisition_with_a_lost_answer_is_resolved(trouble):
    async def work(fleet):
        for instance in fleet.members:
            instance.client.trouble = trouble
        await fleet.watch(1.0)
        for instance in fleet.members:
            instance.client.trouble = TROUBLE.none
        await fleet.until_holder(5)

    play(work)
