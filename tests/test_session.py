"""Test what an instance knows of its own registration in the store."""

import asyncio

import cluster_parts
import pytest

from emulator import memory_store
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
