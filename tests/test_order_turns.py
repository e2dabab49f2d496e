"""Test that instances do not send orders by turns within the lease duration."""

import asyncio

import cluster_parts
import msgspec
import pytest
import virtual

from emulator import memory_store
from oatcrank.cluster import holder_records, lease_holder, order_turns

FAULT = memory_store.StoreFault
LEASE_DURATION_S = 3.0
# The session of a killed holder ends, and its successor may order.
SUCCESSION_S = 5.0
# The lease is free, is left to others, and the former holder may not answer.
COLD_START_S = 3.0


class TurnChecker:
    """Send an order whenever an instance may; find turns that are too short."""

    def __init__(self, fleet: cluster_parts.Fleet) -> None:
        self._fleet = fleet
        self._last_s_by_name: dict[str, float] = {}
        self._previous = ''
        self.turns: list[str] = []

    async def run(self) -> None:
        while True:
            holder = self._fleet.holder()
            if holder is not None:
                self._order(holder)
            await asyncio.sleep(0.01)

    def _order(self, holder: cluster_parts.Member) -> None:
        now_s = asyncio.get_running_loop().time()
        name = holder.members.own.instance_id
        last_s = self._last_s_by_name.get(name)
        if last_s is not None and name != self._previous:
            if now_s - last_s <= LEASE_DURATION_S:
                self.turns.append(f'{name} again after {now_s - last_s:.2f} s')
        self._last_s_by_name[name] = now_s
        self._previous = name
        holder.record_order()


def run_checked(scenario, count=2):
    """Run a scenario; return the turns that were too short."""

    async def run():
        fleet = cluster_parts.Fleet(count, lease_duration_s=LEASE_DURATION_S)
        checker = TurnChecker(fleet)
        fleet.start()
        checking = asyncio.ensure_future(checker.run())
        try:
            await fleet.wait_for_holder(SUCCESSION_S)
            await asyncio.sleep(1)
            await scenario(fleet)
            assert not checking.done(), checking.exception()
        finally:
            checking.cancel()
            await fleet.stop()
        return checker.turns

    return virtual.run(run())


async def succeed(fleet, former):
    """Wait until an instance other than the former holder sends orders."""
    return await fleet.wait_for_holder(SUCCESSION_S, other_than=former)


async def kill(holder):
    await holder.kill()


async def release(holder):
    await holder.order_lease.release()
    await asyncio.sleep(0.05)


async def stop_as_planned(holder):
    await release(holder)
    await asyncio.sleep(0.5)
    await holder.kill()


@pytest.mark.parametrize('end', [kill, stop_as_planned])
@pytest.mark.parametrize('starts_after_s', [0, 0.3])
@pytest.mark.parametrize('held_s', [0.02, 0.5, 1.5])
def test_a_restarted_holder_orders_again_too_soon(end, starts_after_s, held_s):
    """The order times of the process before are not known to the new one."""

    async def scenario(fleet):
        first = await fleet.wait_for_holder(1)
        await end(first)
        second = await succeed(fleet, first)
        await asyncio.sleep(starts_after_s)
        fleet.start_again(first)
        await asyncio.sleep(held_s)
        await release(second)
        await fleet.wait_for_holder(SUCCESSION_S, other_than=second)
        await asyncio.sleep(1)

    assert run_checked(scenario) == []


@pytest.mark.parametrize('restarts', [(), (0,), (0, 1), (0, 1, 2)])
def test_three_holders_in_turn(restarts):
    """The record of the last holder names only the one before it."""

    async def scenario(fleet):
        for number in range(6):
            holder = await fleet.wait_for_holder(SUCCESSION_S)
            await asyncio.sleep(0.2)
            await holder.order_lease.hand_over()
            await asyncio.sleep(1)
            if number % 3 in restarts:
                await holder.kill()
                fleet.start_again(holder)

    assert run_checked(scenario, count=3) == []


def test_a_holder_that_restarts_twice_before_it_may_order():
    """Its second process follows a record of its own that sent no order."""

    async def scenario(fleet):
        first = await fleet.wait_for_holder(1)
        await first.kill()
        second = await succeed(fleet, first)
        again = fleet.start_again(first)
        await asyncio.sleep(0.3)
        await stop_as_planned(second)
        await asyncio.sleep(0.3)
        await again.kill()
        fleet.start_again(again)
        await fleet.wait_for_holder(SUCCESSION_S + 1)

    assert run_checked(scenario) == []


@pytest.mark.parametrize('restored', [False, True])
def test_a_record_that_does_not_name_the_earlier_holders(restored):
    """It is of an earlier version of this software, or of an older copy."""

    async def scenario(fleet):
        first = await fleet.wait_for_holder(1)
        older = fleet.shared.take_copy()
        await first.kill()
        second = await succeed(fleet, first)
        restarted = fleet.start_again(first)
        await asyncio.sleep(0.3)
        if restored:
            await second.kill()
            fleet.shared.return_from(older)
        else:
            await stop_as_planned(second)
            remove_earlier(fleet.shared)
        await asyncio.sleep(2 * SUCCESSION_S)
        assert fleet.holder() is restarted

    assert run_checked(scenario) == []


def remove_earlier(shared: memory_store.MemoryStore) -> None:
    item = shared.item_by_key[holder_records.LAST_HOLDER_KEY]
    record = msgspec.json.decode(item.value)
    record.pop('earlier', None)
    shared.item_by_key[item.key] = msgspec.structs.replace(
        item, value=msgspec.json.encode(record)
    )


@pytest.mark.parametrize('held_s', [10.0, 60.0])
def test_orders_start_late_after_a_loss_of_power_of_all(held_s):
    """Only those that ordered shortly before the last holder have to wait."""

    async def scenario(fleet):
        first = await fleet.wait_for_holder(1)
        await stop_as_planned(first)
        fleet.start_again(first)
        await succeed(fleet, first)
        await asyncio.sleep(held_s)
        # The successor notes how long the record has been there.
        await release(await fleet.wait_for_holder(1))
        await asyncio.sleep(held_s)
        for instance in tuple(fleet.members):
            await instance.kill()
        fleet.shared.remove(holder_records.HOLDER_KEY)
        for instance in tuple(fleet.members):
            fleet.start_again(instance)
        await fleet.wait_for_holder(COLD_START_S)

    assert run_checked(scenario, count=4) == []


def test_an_instance_that_has_to_wait_keeps_others_from_ordering():
    async def scenario(fleet):
        first = await fleet.wait_for_holder(1)
        await first.kill()
        second = await succeed(fleet, first)
        fleet.start_again(first)
        await asyncio.sleep(0.5)
        await release(second)
        third = await fleet.wait_for_holder(1.5, other_than=second)
        assert third.members.own.instance_id not in {
            first.members.own.instance_id,
            second.members.own.instance_id,
        }

    assert run_checked(scenario, count=3) == []


def former(earlier, *, watched_s=0.0, is_known=True, name='b'):
    return order_turns.FormerHolder(
        record=lease_holder.HolderRecord(
            instance_id=name, started_ms=1, peer_address='b:2', earlier=earlier
        ),
        is_known=is_known,
        watched_s=watched_s,
    )


NO_FORMER = order_turns.FormerHolder(record=None, is_known=True, watched_s=0)
LOST_FORMER = order_turns.FormerHolder(record=None, is_known=False, watched_s=9)


@pytest.mark.parametrize(
    ('known', 'expected_ids', 'expected_wait'),
    [
        # Nobody has ever ordered, or nobody knows who has.
        (NO_FORMER, (), False),
        (LOST_FORMER, None, True),
        (former((), is_known=False), None, True),
        # The former holder may have ordered last.
        (former(()), ('b',), False),
        # Those before it may have ordered just before.
        (former(('a', 'c')), ('a', 'b', 'c'), True),
        (former(('c',)), ('b', 'c'), False),
        (former(('a', 'c'), watched_s=5.9), ('a', 'b', 'c'), True),
        # They have not: the successor need not name them.
        (former(('a', 'c'), watched_s=6.1), ('b',), True),
        # An earlier version of this software wrote the record.
        (former(None), None, True),
        (former(None, watched_s=6.1), ('b',), True),
        # Its own process before: nobody has ordered between.
        (former((), name='a'), (), False),
        (former(('a', 'b'), name='a'), ('a', 'b'), True),
    ],
)
def test_an_instance_is_forgotten_that_may_have_ordered(
    known, expected_ids, expected_wait
):
    assert order_turns.earlier_ids(known, 'a', 3.0) == expected_ids
    assert order_turns.may_have_ordered(known, 'a') is expected_wait
