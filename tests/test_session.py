"""Test what an instance knows of its own registration in the store."""

import asyncio

import cluster_parts
import pytest
import virtual

from emulator import memory_store
from oatcrank import errors
from oatcrank.cluster import session, store
from oatcrank.orders import boot_clock


@pytest.mark.parametrize(
    ('fault', 'elapsed_s', 'valid'),
    [
        (memory_store.StoreFault.none, 0, True),
        (memory_store.StoreFault.down, 0, True),
        # The store turns this instance away until the lease has run out.
        (memory_store.StoreFault.down, session.LEASE_DURATION_S, False),
    ],
)
def test_the_own_lease_is_valid_until_a_term_after_the_last_renewal(
    fault, elapsed_s, valid
):
    async def scenario():
        fleet = cluster_parts.Fleet(1)
        (instance,) = fleet.members
        instance.start()
        await fleet.wait_for_holder(5)
        instance.client.fault = fault
        await asyncio.sleep(session.RENEW_INTERVAL_S)
        now_s = boot_clock.now() + elapsed_s
        assert instance.members.is_own_lease_valid(now_s) is valid
        await fleet.stop()

    asyncio.run(scenario())


def test_a_lease_that_the_store_has_ended_is_not_valid():
    async def scenario():
        fleet = cluster_parts.Fleet(1)
        (instance,) = fleet.members
        instance.start()
        await fleet.wait_for_holder(5)
        fleet.shared.end_lease(instance.session.lease_id)
        with pytest.raises(store.LeaseEnded):
            await instance.session.renew(1)
        assert not instance.members.is_own_lease_valid(boot_clock.now())
        await fleet.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize('late_s', [0, 0.3, 0.6])
def test_a_registration_outlasts_one_renewal_without_an_answer(late_s):
    """The store never gets it, and the instance is alive all the while."""

    async def scenario():
        shared = memory_store.MemoryStore()
        network = cluster_parts.PeerNetwork()
        client = memory_store.MemoryClient(shared)
        instance = cluster_parts.Member('instance-0', client, network, 0)
        instance.start()
        await asyncio.sleep(1 + late_s)
        renew = instance.client.renew_lease

        async def lose(lease_id, timeout_s):
            instance.client.renew_lease = renew
            await asyncio.sleep(timeout_s)
            raise errors.UnknownOutcome('no answer')

        instance.client.renew_lease = lose
        for _ in range(400):
            await asyncio.sleep(0.01)
            shared.expire()
            assert instance.session.key in shared.item_by_key
        await instance.kill()

    virtual.run(scenario())


def test_the_watch_is_restarted_when_the_store_has_ended_a_lease():
    """A restored store may never answer a watch of the history it has lost."""

    async def scenario():
        shared = memory_store.MemoryStore()
        client = memory_store.MemoryClient(shared)
        instance = cluster_parts.Member(
            'instance-0', client, cluster_parts.PeerNetwork(), 0
        )
        instance.start()
        await asyncio.sleep(1)
        older = shared.take_copy()
        watch = client.watch

        async def hang(after, wait_s):
            client.watch = watch
            await asyncio.sleep(wait_s)
            return await watch(after, wait_s)

        client.watch = hang
        shared.put('a', b'1')
        await asyncio.sleep(0.2)
        shared.return_from(older)
        await asyncio.sleep(2 * session.RENEW_INTERVAL_S)
        assert instance.mirror.era == shared.era
        await instance.kill()

    virtual.run(scenario())


def test_an_instance_registers_again_at_once_when_its_lease_has_ended():
    """Until then the others leave it out; its next renewal may be far."""

    async def scenario():
        shared = memory_store.MemoryStore()
        client = memory_store.MemoryClient(shared)
        instance = cluster_parts.Member(
            'instance-0', client, cluster_parts.PeerNetwork(), 0
        )
        instance.start()
        await asyncio.sleep(1)
        for pause_s in (0.1, 0.3, 0.5, 0.7):
            await asyncio.sleep(pause_s)
            shared.end_lease(instance.session.lease_id)
            with pytest.raises(store.LeaseEnded):
                await instance.session.renew(1)
            await asyncio.sleep(0.05)
            assert instance.session.key in shared.item_by_key
        await instance.kill()

    virtual.run(scenario())
