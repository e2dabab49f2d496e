"""Test that instances learn of changes by relays of their failure domain."""

import asyncio

import msgspec
import pytest
import relay_fleet

from emulator import memory_store
from oatcrank import errors, ids
from oatcrank.cluster import (
    change_source,
    relay_messages,
    store,
    table_updater,
)

# The smallest deployment allows this long until a change is in force.
APPLY_BOUND_S = 2.0
DOMAIN = 'domain-0'


@pytest.mark.parametrize(('count', 'domains'), [(9, 3), (63, 3), (195, 5)])
def test_watches_grow_with_the_failure_domains(count, domains):
    async def scenario(fleet):
        before = fleet.calls()
        for number in range(20):
            fleet.register_server(f's{number}')
            await asyncio.sleep(0.5)
        after = fleet.calls()
        return after['watch'] - before['watch']

    watches = relay_fleet.run(scenario, count, domains)
    relays = 2 * domains
    # Each relay makes two calls a second, one after each batch of changes.
    assert watches <= relays * 10 * 2.2


# With seed 42 the relays have lost the store just before the change, and waited
# for it beyond the age at which they are of no use.
@pytest.mark.parametrize('seed', [0, 1, 2, 42])
@pytest.mark.parametrize('both', [False, True])
@pytest.mark.parametrize('fault', list(relay_fleet.Fault))
def test_changes_arrive_in_time_whatever_happens_to_a_relay(fault, both, seed):
    """All others know them; their own domain's relays have the fault."""

    async def scenario(fleet):
        relays = fleet.relays_of(DOMAIN)
        assert len(relays) == 2
        faulty = relays if both else [fleet.rng.choice(relays)]
        for relay in faulty:
            if fault is relay_fleet.Fault.gone:
                relay.end()
            relay.fault = fault
        await asyncio.sleep(fleet.rng.random())
        fleet.register_server('new')
        others = [
            instance for instance in fleet.instances if instance not in faulty
        ]
        return await fleet.seconds_until_known('new', others, 10)

    took_s = relay_fleet.run(scenario, 30, 3, seed)
    assert took_s <= APPLY_BOUND_S


@pytest.mark.parametrize('seed', range(4))
def test_changes_arrive_in_time_after_the_store_was_restored(seed):
    """The lost history ended at a higher number than the change has."""

    async def scenario(fleet):
        older = fleet.shared.take_copy()
        for number in range(20):
            fleet.register_server(f'lost-{number}')
        await asyncio.sleep(2)
        fleet.shared.return_from(older)
        await asyncio.sleep(fleet.rng.random())
        fleet.register_server('new')
        return await fleet.seconds_until_known('new', fleet.instances, 10)

    took_s = relay_fleet.run(scenario, 30, 3, seed)
    assert took_s <= APPLY_BOUND_S


@pytest.mark.parametrize('seed', range(3))
def test_changes_arrive_while_relays_leave(seed):
    async def scenario(fleet):
        for relay in fleet.relays_of(DOMAIN):
            relay.leave()
        fleet.register_server('new')
        took_s = await fleet.seconds_until_known('new', fleet.instances, 10)
        await asyncio.sleep(2)
        assert len(fleet.relays_of(DOMAIN)) == 2
        return took_s

    assert relay_fleet.run(scenario, 30, 3, seed) <= APPLY_BOUND_S


def test_an_instance_that_the_store_turns_away_goes_on_knowing():
    async def scenario(fleet):
        follower = next(
            instance for instance in fleet.instances if not instance.is_relay
        )
        follower.fault = relay_fleet.Fault.turned_away
        fleet.register_server('new')
        return await fleet.seconds_until_known('new', [follower], 10)

    assert relay_fleet.run(scenario, 30, 3) <= APPLY_BOUND_S


def test_an_instance_without_peers_reads_the_store():
    async def scenario(fleet):
        follower = next(
            instance for instance in fleet.instances if not instance.is_relay
        )
        follower.fault = relay_fleet.Fault.peerless
        fleet.register_server('new')
        return await fleet.seconds_until_known('new', [follower], 10)

    assert relay_fleet.run(scenario, 30, 3) <= APPLY_BOUND_S


def test_a_dead_instance_is_known_to_be_gone():
    async def scenario(fleet):
        dead = fleet.relays_of(DOMAIN)[0]
        dead.end()
        await asyncio.sleep(3.5)
        for instance in fleet.instances:
            if instance is not dead:
                assert dead.own.instance_id not in instance.members.by_id

    relay_fleet.run(scenario, 30, 3)


def test_servers_may_register_again_after_the_store_was_away():
    """Their registrations expire meanwhile, and relays pass that on at once."""

    async def scenario(fleet):
        fleet.register_server('one')
        await asyncio.sleep(2)
        for instance in fleet.instances:
            instance.store.fault = memory_store.StoreFault.down
        await asyncio.sleep(4)
        fleet.shared.remove(f'{relay_fleet.PREFIX}one')
        for instance in fleet.instances:
            instance.store.fault = memory_store.StoreFault.none
        await asyncio.sleep(1.5)
        for instance in fleet.instances:
            assert 'one' in instance.servers.by_id
        await asyncio.sleep(table_updater.REREGISTRATION_GRACE_S + 2)
        for instance in fleet.instances:
            assert 'one' not in instance.servers.by_id

    relay_fleet.run(scenario, 30, 3)


def test_a_server_that_ends_while_a_relay_lost_the_store_is_removed_at_once():
    """The others have known all along; nothing may have expired unnoticed."""

    async def scenario(fleet):
        fleet.register_server('one')
        await asyncio.sleep(2)
        relay = fleet.relays_of(DOMAIN)[0]
        relay.fault = relay_fleet.Fault.turned_away
        await asyncio.sleep(4)
        relay.fault = relay_fleet.Fault.none
        await asyncio.sleep(1)
        fleet.shared.remove(f'{relay_fleet.PREFIX}one')
        await asyncio.sleep(1.2)
        for instance in fleet.instances:
            if instance is not relay:
                assert 'one' not in instance.servers.by_id

    relay_fleet.run(scenario, 30, 3)


def item(revision, value=b'x', key='servers/one'):
    return store.Item(key=key, value=value, revision=ids.Revision(revision))


def relayed(*items, revision):
    return change_source.RelayedChanges(
        items=items, revision=ids.Revision(revision), age_s=0
    )


class Scripted(change_source.ChangeSource):
    """Return given changes one after the other, then wait."""

    def __init__(self, changes) -> None:
        self._changes = list(changes)

    async def changes(self, after):
        if not self._changes:
            await asyncio.sleep(60)
        return self._changes.pop(0)

    async def look(self, after):
        """Return nothing, as if no other instance answered."""

    def checks_store(self):
        return True

    def bypass(self, *, bypassed) -> None:
        """Do nothing."""


@pytest.mark.parametrize(
    'changes',
    [
        # Late, from a relay that is behind.
        (
            relayed(item(9, None), revision=9),
            relayed(item(8), revision=8),
        ),
        # Twice.
        (
            relayed(item(9, None), revision=9),
            relayed(item(9, None), revision=9),
        ),
        # Out of order.
        (
            relayed(item(9, None), revision=9),
            relayed(item(7), revision=10),
            relayed(revision=4),
        ),
    ],
)
def test_nothing_goes_back(changes):
    async def scenario(fleet):
        fleet.register_server('one')
        await asyncio.sleep(2)
        (instance,) = fleet.instances
        last = instance.mirror.revision
        shifted = [
            relayed(
                *(
                    msgspec.structs.replace(
                        entry, revision=ids.Revision(entry.revision + last)
                    )
                    for entry in change.items
                ),
                revision=change.revision + last,
            )
            for change in changes
        ]
        instance.mirror._source = Scripted(shifted)
        fleet.register_server('two')
        await asyncio.sleep(2)
        assert 'one' not in instance.servers.by_id
        assert instance.mirror.revision >= last + 9

    relay_fleet.run(scenario, 1, 1)


def test_an_instance_that_started_later_does_not_hide_what_was_removed():
    """It never knew a key that had been removed before it started."""

    async def scenario(fleet):
        older, newer = fleet.instances[:2]
        after = older.mirror.revision
        fleet.register_server('one')
        await asyncio.sleep(1)
        fleet.shared.remove(f'{relay_fleet.PREFIX}one')
        await asyncio.sleep(1)
        started = relay_fleet.Instance(fleet, 99, DOMAIN)
        started.start()
        await asyncio.sleep(1)
        query = relay_messages.ChangesQuery(after=after, wait_s=0)
        assert not (await started.relay.answer(query)).complete
        assert (await newer.relay.answer(query)).complete

    relay_fleet.run(scenario, 9, 3)


def test_unreadable_changes_are_an_error():
    with pytest.raises(errors.Unavailable):
        relay_messages.unpack(b'nonsense')
