"""Test what follows when the store returns from an older copy of itself."""

import asyncio
import contextlib
import random

import cluster_parts
import msgspec
import pytest
import virtual

from emulator import memory_store, platform_store
from oatcrank import errors
from oatcrank.cluster import (
    holder_records,
    lease_holder,
    session,
    store,
    store_eras,
)
from oatcrank.orders import lease_term
from oatcrank.platform import store_client

FAULT = memory_store.StoreFault
SEEDS = range(12)


class OrderChecker:
    """Check that one instance orders, under tokens that never fall."""

    def __init__(self, fleet: cluster_parts.Fleet) -> None:
        self._fleet = fleet
        self._highest_fence = 0

    async def run(self) -> None:
        while True:
            holder = self._fleet.holder()
            if holder is not None:
                fence = holder.coordinator.term.fence
                assert fence >= self._highest_fence
                self._highest_fence = fence
            await asyncio.sleep(0.01)


async def end(checking, fleet):
    checking.cancel()
    with contextlib.suppress(asyncio.CancelledError, AssertionError):
        await checking
    await fleet.stop()


async def check_orders(fleet, scenario):
    """Run a scenario while the orders of a fleet are checked."""
    fleet.start()
    checking = asyncio.ensure_future(OrderChecker(fleet).run())
    try:
        await fleet.wait_for_holder(5)
        await scenario(fleet)
        assert not checking.done(), checking.exception()
    finally:
        await end(checking, fleet)


def run_restored(scenario, count=3):
    """Run a scenario with a store in memory."""

    async def run():
        # Its processes begin in virtual time.
        await check_orders(cluster_parts.Fleet(count), scenario)

    virtual.run(run())


async def restart(fleet, stopped):
    """Stop an instance as planned, and start it again."""
    await stopped.order_lease.release()
    await asyncio.sleep(2.5)
    await stopped.kill()
    own = stopped.members.own
    started = cluster_parts.Member(
        own.instance_id, fleet.new_client(), fleet.network, own.started_ms + 100
    )
    fleet.members[fleet.members.index(stopped)] = started
    started.start()


async def restore(fleet, older, away_s, longer_away=()):
    """Let the store be away, and return from an older copy."""
    for instance in fleet.members:
        instance.client.fault = FAULT.down
    await asyncio.sleep(away_s)
    fleet.shared.return_from(older)
    for instance in fleet.members:
        if instance not in longer_away:
            instance.client.fault = FAULT.none


def test_one_holder_orders_after_the_store_has_lost_its_record():
    """The former holder acquired the lease beside the one that lost it."""

    async def run():
        served = platform_store.PlatformStoreServer()
        served.start()
        fleet = cluster_parts.Fleet(
            3, lambda: store_client.PlatformStore(served.address)
        )
        fleet.shared = served.store

        async def scenario(fleet):
            older = served.store.take_copy()
            await asyncio.sleep(1)
            restarting = asyncio.ensure_future(
                restart(fleet, await fleet.wait_for_holder(3))
            )
            await asyncio.sleep(1.5)
            served.mode = platform_store.StoreMode.unavailable
            await asyncio.sleep(0.5)
            served.store.return_from(older)
            served.mode = platform_store.StoreMode.normal
            await restarting
            await asyncio.sleep(5)
            await fleet.wait_for_holder(3)

        try:
            await check_orders(fleet, scenario)
        finally:
            served.stop()

    asyncio.run(run())


def test_a_holder_that_the_store_lost_before_its_first_order_keeps_others_out():
    """Without a record of any holder, a new one must not order at once."""

    async def scenario(fleet):
        first = await fleet.wait_for_holder(3)
        older = fleet.shared.take_copy()
        empty = memory_store.MemoryStore().take_copy()
        assert older.item_by_key.keys() > empty.item_by_key.keys()
        await restore(fleet, empty, away_s=0.5, longer_away=(first,))
        await asyncio.sleep(1)
        first.client.fault = FAULT.none
        await asyncio.sleep(5)
        await fleet.wait_for_holder(1)

    run_restored(scenario)


def test_a_holder_whose_record_is_lost_is_not_confirmed():
    """The instance that is asked is stopping, and will not hold the lease."""

    async def scenario(fleet):
        first = await fleet.wait_for_holder(3)
        other = fleet.non_holder()
        await other.order_lease.release()
        empty = memory_store.MemoryStore().take_copy()
        await restore(fleet, empty, away_s=0.2, longer_away=(first,))
        await asyncio.sleep(lease_term.UNKNOWN_FORMER_STOPS_S)
        assert other.mirror.era == fleet.shared.era
        assert not first.may_order

    run_restored(scenario, count=2)


def test_the_holder_in_an_older_record_is_not_taken_for_the_last_one():
    """It has ended, but one that the store does not know may still order."""

    async def scenario(fleet):
        first = await fleet.wait_for_holder(3)
        await first.order_lease.release()
        older = fleet.shared.take_copy()
        second = await fleet.wait_for_holder(3, other_than=first)
        await first.kill()
        await restore(fleet, older, away_s=0.1, longer_away=(second,))
        third = await fleet.wait_for_holder(8, other_than=second)
        assert third is not first

    run_restored(scenario)


@pytest.mark.parametrize('number', [0, 1])
def test_a_record_of_a_holder_that_does_not_know_it_is_removed(number):
    """A write of unknown outcome was carried out after it was given up."""

    async def run():
        fleet = cluster_parts.Fleet(2)
        own = fleet.members[number].members.own
        fleet.shared.put(
            holder_records.HOLDER_KEY,
            msgspec.json.encode(
                lease_holder.HolderRecord(
                    instance_id=own.instance_id,
                    started_ms=own.started_ms,
                    peer_address=own.peer_address,
                )
            ),
        )

        async def scenario(fleet):
            """Wait for nothing more than the first holder."""

        await check_orders(fleet, scenario)

    virtual.run(run())


@pytest.mark.parametrize('seed', SEEDS)
def test_one_holder_orders_whatever_the_store_has_lost(seed):
    """Copies of any age return beside stops, kills and single cuts."""

    async def scenario(fleet):
        rng = random.Random(seed)
        for _ in range(3):
            older = fleet.shared.take_copy()
            await asyncio.sleep(rng.uniform(0, 8))
            chosen = rng.choice(fleet.members)
            holder = fleet.holder() or chosen
            stopped = rng.choice((chosen, holder))
            restarting = asyncio.ensure_future(restart(fleet, stopped))
            await asyncio.sleep(rng.uniform(0, 4))
            away = rng.sample(fleet.members, rng.randrange(2))
            await restore(fleet, older, rng.uniform(0, 1.5), away)
            await asyncio.sleep(rng.uniform(0, 3))
            for instance in fleet.members:
                instance.client.fault = FAULT.none
            await restarting
            await asyncio.sleep(3)
        await asyncio.sleep(5)
        await fleet.wait_for_holder(1)

    run_restored(scenario, count=3 + seed % 3)


def test_an_instance_registers_again_after_its_registration_was_lost():
    """Its lease goes on by its number, but what it wrote under it is lost."""

    async def scenario(fleet):
        older = fleet.shared.take_copy()
        await asyncio.sleep(0.5)
        for instance in fleet.members:
            fleet.shared.put(instance.session.key, b'changed since')
        await restore(fleet, older, away_s=0.2)
        await asyncio.sleep(3)
        registered = {
            item.key
            for item in fleet.shared.items()
            if item.key.startswith(session.MEMBERS_PREFIX)
        }
        assert registered == {
            instance.session.key for instance in fleet.members
        }
        for instance in fleet.members:
            assert instance.session.lease_id is not None
            era = store_eras.lease_era(instance.session.lease_id)
            assert era == fleet.shared.era

    run_restored(scenario)


def with_platform_store(work):
    """Run work(store, first client, second client) over the wire."""

    async def run():
        served = platform_store.PlatformStoreServer()
        served.start()
        clients = [store_client.PlatformStore(served.address) for _ in range(2)]
        try:
            await work(served.store, *clients)
        finally:
            served.stop()

    asyncio.run(run())


@pytest.mark.parametrize('is_known', [False, True])
def test_numbers_of_an_earlier_era_do_not_name_what_was_written_since(is_known):
    """The store gives out lost revisions and leases again."""

    async def work(served, client, other):
        older = served.take_copy()
        lost = await client.write(store.Transaction(value_by_key={'a': b'1'}))
        lease = await client.grant_lease(5.0)
        served.return_from(older)
        again = await other.write(store.Transaction(value_by_key={'a': b'2'}))
        assert store_eras.revision_number(again) == (
            store_eras.revision_number(lost)
        )
        assert again > lost
        if is_known:
            await client.read('a')
        with pytest.raises(store.HistoryLost):
            await client.watch(lost, 0.1)
        with pytest.raises(store.RevisionConflict):
            await client.write(
                store.Transaction(
                    expected_revision_by_key={'a': lost}, removed_keys=('a',)
                )
            )
        served.lease_by_id[store_eras.lease(served.era, lease)] = (
            memory_store.Lease(asyncio.get_running_loop().time() + 5, 5)
        )
        with pytest.raises(store.LeaseEnded):
            await client.renew_lease(lease, 1.0)
        item = await client.read('a')
        assert (item.value, item.revision) == (b'2', again)

    with_platform_store(work)


def call_watch(client, revision, lease):
    return client.watch(revision, 0.1)


def call_renew(client, revision, lease):
    return client.renew_lease(lease, 1.0)


@pytest.mark.parametrize(
    ('call', 'expected'),
    [(call_watch, store.HistoryLost), (call_renew, store.LeaseEnded)],
)
def test_the_first_call_to_a_restored_store_shows_that_it_was(call, expected):
    """The store answers it as if its numbers were those of this era."""

    async def work(served, client, _):
        revision = await client.write(
            store.Transaction(value_by_key={'a': b'1'})
        )
        lease = await client.grant_lease(5.0)
        served.return_from(served.take_copy())
        served.discarded_revision = 0
        with pytest.raises(expected):
            await call(client, revision, lease)

    with_platform_store(work)


def test_a_late_answer_of_an_earlier_era_is_not_used():
    async def work(served, client, _):
        served.put('a', b'1')
        served.return_from(served.take_copy())
        await client.read('a')
        served.era = store_eras.UNNAMED_ERA
        with pytest.raises(errors.Unavailable):
            await client.read('a')
        with pytest.raises(errors.UnknownOutcome):
            await client.write(store.Transaction(value_by_key={'a': b'2'}))

    with_platform_store(work)


def test_pages_of_two_eras_are_not_read_as_one():
    async def work(served, client, _):
        for number in range(2 * platform_store.PAGE_ITEMS):
            served.put(f'key-{number:03}', b'x')
        older = served.take_copy()
        items = served.items

        def restore_after_first_page():
            served.items = items
            first = items()
            asyncio.get_running_loop().call_soon(served.return_from, older)
            return first

        served.items = restore_after_first_page
        with pytest.raises(errors.Unavailable):
            await client.read_all()

    with_platform_store(work)


def test_what_is_written_under_a_lease_of_another_one_does_not_count():
    """A lease of the new era may have the number of one that was lost."""

    async def work(served, client, other):
        older = served.take_copy()
        lease = await client.grant_lease(5.0)
        served.return_from(older)
        served.lease_by_id[store_eras.lease(served.era, lease)] = (
            memory_store.Lease(asyncio.get_running_loop().time() + 5, 5)
        )
        with pytest.raises(store.LeaseEnded):
            await client.write(
                store.Transaction(
                    value_by_key={holder_records.HOLDER_KEY: b'me'},
                    lease_id=lease,
                    leased_keys=frozenset((holder_records.HOLDER_KEY,)),
                )
            )

    with_platform_store(work)
