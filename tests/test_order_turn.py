"""Test who may give orders while instances and the store fail."""

import cluster_parts
import pytest
import virtual

from emulator import memory_store
from oatcrank.cluster import order_turn

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


def test_one_of_all_gives_orders():
    async def work(fleet):
        await fleet.until_holder(3)
        assert await fleet.watch(1.0) > 0.7

    play(work)


def test_a_killed_holder_is_followed_at_once_when_its_lease_ends():
    async def work(fleet):
        first = await fleet.until_holder(3)
        await first.kill()
        await fleet.until_holder(3.5, other_than=first)

    play(work)


def test_a_frozen_holder_is_waited_for():
    """Its belief ends by itself; the successor can't ask it."""

    async def work(fleet):
        first = await fleet.until_holder(3)
        fleet.wires.frozen.add(first.address)
        first.client.trouble = TROUBLE.down
        second = await fleet.until_holder(6, other_than=first)
        assert second is not first

    play(work)


def test_a_holder_cut_off_from_the_store_hands_over_by_word():
    async def work(fleet):
        first = await fleet.until_holder(3)
        first.client.trouble = TROUBLE.down
        second = await fleet.until_holder(5, other_than=first)
        assert second is not first
        assert await fleet.watch(0.5) > 0.35

    play(work)


def test_orders_go_on_while_the_store_is_down_for_all():
    async def work(fleet):
        first = await fleet.until_holder(3)
        for one in fleet.members:
            one.client.trouble = TROUBLE.down
        assert await fleet.watch(3.0) > 2.4
        assert fleet.holder() is first
        for one in fleet.members:
            one.client.trouble = TROUBLE.none
        await fleet.watch(2.0)
        await fleet.until_holder(2)

    play(work)


def test_orders_stop_when_not_all_can_vouch():
    async def work(fleet):
        await fleet.until_holder(3)
        for one in fleet.members:
            one.client.trouble = TROUBLE.down
        other = fleet.a_successor()
        fleet.wires.cut.add(other.address)
        await fleet.watch(1.6)
        assert fleet.holder() is None

    play(work)


def test_a_revoked_lease_moves_without_an_overlap():
    async def work(fleet):
        first = await fleet.until_holder(3)
        fleet.shared.revoke(order_turn.HOLDER_KEY)
        await fleet.watch(3.0)
        assert fleet.holder() is not None
        assert first is not None

    play(work)


def test_a_planned_stop_hands_the_lease_on():
    async def work(fleet):
        first = await fleet.until_holder(3)
        await first.turn.release()
        await fleet.until_holder(1.5, other_than=first)

    play(work)


@pytest.mark.parametrize('trouble', [TROUBLE.lost, TROUBLE.down])
def test_an_acquisition_whose_answer_is_lost_is_settled(trouble):
    async def work(fleet):
        for one in fleet.members:
            one.client.trouble = trouble
        await fleet.watch(1.0)
        for one in fleet.members:
            one.client.trouble = TROUBLE.none
        await fleet.until_holder(5)

    play(work)
