"""Test that changes are known in time though watches are never answered.

The connection of a watch lives, and calls on new connections succeed: renewals
of the session go on meanwhile.
"""

import asyncio

import pytest
import relay_fleet

from oatcrank.cluster import checked_watch

# The smallest deployment allows this long until a change is in force, for
# instances without disruption for CONTACT_S.
APPLY_BOUND_S = 2.0
CONTACT_S = 3.0
QUIET_S = 60.0
# Instances and failure domains, also without any instance that is no relay.
FLEETS = [(1, 1), (2, 1), (2, 2), (4, 2), (9, 3), (30, 3)]
SEEDS = range(6)


def silence(instances):
    for instance in instances:
        instance.store.silence_watch()


async def seconds_after_change(fleet):
    fleet.register_server('new')
    return await fleet.seconds_until_known('new', fleet.instances, 12)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(('count', 'domains'), FLEETS[1:])
def test_one_lost_answer_keeps_an_old_configuration_in_force(
    count, domains, seed
):
    """The others know the change, also if the one is the checker."""

    async def scenario(fleet):
        relays = [each for each in fleet.instances if each.is_relay]
        silence([fleet.rng.choice(relays)])
        await asyncio.sleep(CONTACT_S * fleet.rng.random())
        return await seconds_after_change(fleet)

    assert relay_fleet.run(scenario, count, domains, seed) <= APPLY_BOUND_S


@pytest.mark.parametrize('seed', SEEDS)
def test_both_relays_of_a_failure_domain_miss_an_answer(seed):
    async def scenario(fleet):
        silence(fleet.relays_of('domain-0'))
        await asyncio.sleep(CONTACT_S * fleet.rng.random())
        return await seconds_after_change(fleet)

    assert relay_fleet.run(scenario, 30, 3, seed) <= APPLY_BOUND_S


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(('count', 'domains'), FLEETS)
def test_all_connections_to_the_store_go_silent(count, domains, seed):
    """Nobody knows more, until one checks the store."""

    async def scenario(fleet):
        await asyncio.sleep(CONTACT_S * fleet.rng.random())
        silence(fleet.instances)
        await asyncio.sleep(CONTACT_S)
        return await seconds_after_change(fleet)

    assert relay_fleet.run(scenario, count, domains, seed) <= APPLY_BOUND_S


@pytest.mark.parametrize('seed', SEEDS)
def test_watches_go_silent_again_and_again(seed):
    async def scenario(fleet):
        worst_s = 0.0
        for number in range(8):
            relays = [each for each in fleet.instances if each.is_relay]
            silence(fleet.rng.sample(relays, fleet.rng.randint(1, 3)))
            await asyncio.sleep(CONTACT_S * fleet.rng.random())
            fleet.register_server(f's{number}')
            worst_s = max(
                worst_s,
                await fleet.seconds_until_known(
                    f's{number}', fleet.instances, 12
                ),
            )
        return worst_s

    assert relay_fleet.run(scenario, 9, 3, seed) <= APPLY_BOUND_S


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(
    'fault',
    [
        relay_fleet.Fault.frozen,
        relay_fleet.Fault.turned_away,
        relay_fleet.Fault.peerless,
        relay_fleet.Fault.gone,
        relay_fleet.Fault.old,
    ],
)
def test_an_instance_that_is_asked_has_another_fault(fault, seed):
    """It is the one that checks the store for all, or another relay."""

    async def scenario(fleet):
        relays = [each for each in fleet.instances if each.is_relay]
        faulty, silent = fleet.rng.sample(relays, 2)
        if fault is relay_fleet.Fault.gone:
            faulty.end()
        faulty.fault = fault
        silence([silent])
        await asyncio.sleep(CONTACT_S * fleet.rng.random())
        fleet.register_server('new')
        others = [each for each in fleet.instances if each is not faulty]
        return await fleet.seconds_until_known('new', others, 12)

    assert relay_fleet.run(scenario, 9, 3, seed) <= APPLY_BOUND_S


def test_a_copy_counts_as_confirmed_while_its_watch_is_dead():
    """Renewals show that the store lives, not that the watch does."""

    async def scenario(fleet):
        (instance,) = fleet.instances
        instance.mirror._watch._source = NobodyAnswers()
        await asyncio.sleep(checked_watch.WATCH_WAIT_S)
        instance.store.silence_watch()
        await asyncio.sleep(6)
        return instance.mirror.age_s()

    assert relay_fleet.run(scenario, 1, 1) > CONTACT_S


class NobodyAnswers:
    """Source of an instance that relies on others, of which none answers."""

    async def changes(self, after):
        """Return nothing, so that the store is asked."""

    async def look(self, after):
        await asyncio.sleep(60)

    def checks_store(self):
        return False

    def bypass(self, *, bypassed):
        """Do nothing."""


@pytest.mark.parametrize(
    ('count', 'domains', 'most'),
    [
        # The checker makes a watch a second, the other relays one in ten.
        (1, 1, 1.0),
        (9, 3, 1.0 + 5 / checked_watch.WATCH_WAIT_S),
        (63, 3, 1.0 + 5 / checked_watch.WATCH_WAIT_S),
        (195, 5, 1.0 + 9 / checked_watch.WATCH_WAIT_S),
    ],
)
def test_watches_of_a_quiet_store(count, domains, most):
    async def scenario(fleet):
        await asyncio.sleep(checked_watch.WATCH_WAIT_S)
        before = fleet.calls()
        await asyncio.sleep(QUIET_S)
        after = fleet.calls()
        return after['watch'] - before['watch']

    watches = relay_fleet.run(scenario, count, domains)
    assert watches <= QUIET_S * most + 2 * domains
