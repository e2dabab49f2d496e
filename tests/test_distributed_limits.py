"""Test how instances share the limits that servers name, on loopback."""

import asyncio
import random
import socket

import msgspec
import ports
import pytest
import routing_parts
from test_pace_keepers import a_member

from oatcrank.cluster import (
    datagram_endpoint,
    distributed_server_limiter,
    limit_messages,
    members,
    owner_queries,
)
from oatcrank.orders import boot_clock
from oatcrank.routing import server_table

LIMIT_PER_S = 20.0
SPREAD_S = 0.05
# More requests at once would delay the replies of the owner in this process.
MAX_ASKING = 9
WINDOW_S = 4.0
ANSWER_S = 0.05
# Requests count this long after the first answer of their instance.
COUNTED_AFTER_S = 0.5


class Instance:
    """One instance's limiter, with its endpoint and the members it knows."""

    def __init__(self, number: int) -> None:
        self.own = a_member(number, ports.free_port(socket.SOCK_DGRAM))
        self.known = members.Members(self.own)
        self.endpoint = datagram_endpoint.DatagramEndpoint()
        self.limiter = distributed_server_limiter.DistributedServerLimiter(
            self.known,
            server_table.ServerTable(),
            self.endpoint,
            random.Random(number),
        )

    def hear(self, listed, requests_per_s, sent_s=None) -> None:
        """Take an answer that names a limit, or none."""
        if sent_s is None:
            sent_s = asyncio.get_running_loop().time()
        self.limiter.record_answer(listed, requests_per_s, sent_s)

    def owns(self, listed) -> bool:
        (owner,) = self.known.ranked(listed.server_id, 1)
        return owner is self.own


def run_instances(scenario, count=4):
    """Run some instances that know each other."""

    async def run():
        instances = [Instance(number) for number in range(count)]
        for instance in instances:
            for other in instances:
                instance.known.put(other.own)
            await instance.endpoint.start(instance.own.datagram_address)
        try:
            await scenario(instances)
        finally:
            for instance in instances:
                instance.endpoint.close()

    asyncio.run(run())


async def count_granted(instances, listed, seconds, max_wait_s=0.0) -> int:
    """Ask for permits at some or all instances at once, again and again."""
    granted = 0
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + seconds
    while loop.time() < ends_s:
        permits = await asyncio.gather(
            *(
                instance.limiter.reserve(listed, max_wait_s)
                for instance in random.sample(
                    instances, min(len(instances), MAX_ASKING)
                )
            )
        )
        granted += sum(permit.granted for permit in permits)
        await asyncio.sleep(0.01)
    return granted


class Untold:
    """Instances that learn of a limit by the answers to their own requests."""

    def __init__(self, instances, listed) -> None:
        self._instances = instances
        self._listed = listed
        self._heard_s_by_id: dict[str, float] = {}
        for instance in instances:
            self._drop_notices(instance.endpoint)

    async def count_sent(self, seconds) -> int:
        """Send at some instances at once, and count what the limit covers."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + seconds
        counted = 0
        while loop.time() < ends_s:
            asking = random.sample(self._instances, MAX_ASKING)
            permits = await asyncio.gather(
                *(one.limiter.reserve(self._listed, 0.0) for one in asking)
            )
            for instance, permit in zip(asking, permits, strict=True):
                if permit.granted:
                    counted += self._is_counted(instance, loop.time())
                    loop.call_later(ANSWER_S, self._hear, instance)
            await asyncio.sleep(0.01)
        return counted

    def _drop_notices(self, endpoint) -> None:
        send = endpoint.send

        def send_others(message, address) -> None:
            if not isinstance(message, limit_messages.LimitNotice):
                send(message, address)

        endpoint.send = send_others

    def _hear(self, instance) -> None:
        now_s = asyncio.get_running_loop().time()
        self._heard_s_by_id.setdefault(instance.own.instance_id, now_s)
        instance.hear(self._listed, LIMIT_PER_S)

    def _is_counted(self, instance, now_s) -> bool:
        heard_s = self._heard_s_by_id.get(instance.own.instance_id)
        return heard_s is not None and now_s - heard_s >= COUNTED_AFTER_S


def most_granted(seconds) -> float:
    return LIMIT_PER_S * (seconds + 0.5) + 2


def test_a_limit_that_one_instance_heard_is_known_to_all():
    async def scenario(instances):
        listed = routing_parts.registration(0)
        instances[0].hear(listed, 0.0)
        await asyncio.sleep(SPREAD_S)
        granted = await count_granted(instances, listed, 0.1)
        assert granted <= 1

    run_instances(scenario)


@pytest.mark.parametrize('heard', ['one', 'all'])
def test_permits_of_all_instances_together_keep_a_limit(heard):
    async def scenario(instances):
        listed = routing_parts.registration(0)
        for instance in instances[: 1 if heard == 'one' else None]:
            instance.hear(listed, LIMIT_PER_S)
        await asyncio.sleep(SPREAD_S)
        granted = await count_granted(instances, listed, 1.0)
        assert 0.7 * LIMIT_PER_S <= granted <= most_granted(1.0)

    run_instances(scenario)


def test_a_limit_that_moves_is_kept_by_all():
    async def scenario(instances):
        listed = routing_parts.registration(0)
        for instance in instances:
            instance.hear(listed, 1000.0)
        await count_granted(instances, listed, 0.2)
        # Only one instance is told, and not the owner.
        told = next(one for one in instances if not one.owns(listed))
        told.hear(listed, LIMIT_PER_S)
        await count_granted(instances, listed, 0.1)
        granted = await count_granted(instances, listed, 1.0)
        assert granted <= most_granted(1.0)

    run_instances(scenario)


def test_the_end_of_a_limit_is_known_to_all():
    async def scenario(instances):
        listed = routing_parts.registration(0)
        for instance in instances:
            instance.hear(listed, 0.0)
        await asyncio.sleep(SPREAD_S)
        instances[0].hear(listed, None)
        await asyncio.sleep(SPREAD_S)
        for instance in instances:
            for _ in range(3):
                permit = await instance.limiter.reserve(listed, 0)
                assert permit.granted

    run_instances(scenario)


def test_an_answer_from_before_a_limit_does_not_end_it():
    async def scenario(instances):
        listed = routing_parts.registration(0)
        sent_s = asyncio.get_running_loop().time()
        await asyncio.sleep(0.01)
        for instance in instances:
            instance.hear(listed, 0.0)
            instance.hear(listed, None, sent_s)
        granted = await count_granted(instances, listed, 0.1)
        assert granted <= 1

    run_instances(scenario)


def test_a_new_process_of_a_server_begins_without_a_limit():
    async def scenario(instances):
        listed = routing_parts.registration(0)
        instances[0].hear(listed, 0.0)
        await asyncio.sleep(SPREAD_S)
        restarted = msgspec.structs.replace(
            listed, started_ms=listed.started_ms + 1
        )
        for instance in instances:
            for _ in range(3):
                permit = await instance.limiter.reserve(restarted, 0)
                assert permit.granted

    run_instances(scenario)


@pytest.mark.parametrize('replies', ['none', 'some'])
def test_without_its_owner_a_limit_is_shared(replies):
    """Instances that the owner does not reply to use half of the limit."""

    async def scenario(instances):
        listed = routing_parts.registration(0)
        for instance in instances:
            instance.hear(listed, LIMIT_PER_S)
        (owner,) = [one for one in instances if one.owns(listed)]
        others = [one for one in instances if one is not owner]
        cut = others if replies == 'none' else others[:1]
        for instance in cut:
            # What they send to the owner is lost.
            instance.endpoint.send = lambda message, address: None
        granted = await count_granted(others, listed, 2.0)
        assert granted <= 1.5 * LIMIT_PER_S * 2.0 + 5
        assert granted >= 0.2 * LIMIT_PER_S * 2.0

    run_instances(scenario)


def test_instances_without_the_owner_do_not_send_together():
    async def scenario(instances):
        listed = routing_parts.registration(0)
        for instance in instances:
            instance.hear(listed, 1.0)
            instance.endpoint.send = lambda message, address: None
        others = [one for one in instances if not one.owns(listed)]
        granted = await count_granted(others, listed, 0.3)
        assert granted <= 2

    run_instances(scenario, count=9)


def test_an_instance_that_is_asked_in_place_of_the_owner_grants_half():
    """Members that know different members choose different owners."""

    async def scenario(instances):
        listed = routing_parts.registration(0)
        for instance in instances:
            instance.hear(listed, LIMIT_PER_S)
        (owner,) = [one for one in instances if one.owns(listed)]
        others = [one for one in instances if one is not owner]
        for instance in others[:1]:
            instance.known.remove(owner.own.instance_id)
        granted = await count_granted(instances, listed, 2.0)
        assert granted <= 1.5 * LIMIT_PER_S * 2.5 + 5

    run_instances(scenario)


def test_an_owner_that_does_not_reply_is_soon_not_waited_for():
    async def scenario(instances):
        listed = routing_parts.registration(0)
        for instance in instances:
            instance.hear(listed, LIMIT_PER_S)
            instance.endpoint.send = lambda message, address: None
        asking = next(one for one in instances if not one.owns(listed))
        for _ in range(owner_queries.MAX_MISSES):
            await asking.limiter.reserve(listed, 5.0)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for _ in range(5):
            await asking.limiter.reserve(listed, 5.0)
        assert loop.time() - began_s < owner_queries.REPLY_TIMEOUT_S

    run_instances(scenario)


def test_refused_callers_are_told_to_return_one_after_the_other():
    async def scenario(instances):
        listed = routing_parts.registration(0)
        instances[0].hear(listed, 8.0)
        # Each instance has a quarter of eight requests a second.
        waits_s = [instances[0].limiter.return_s(listed, 0.1) for _ in range(3)]
        assert waits_s == pytest.approx([0.1, 0.6, 1.1], abs=0.05)

    run_instances(scenario)


def test_an_instance_whose_registration_has_ended_owns_no_limit():
    """It would grant the whole limit to itself, besides the new owner."""

    async def scenario(instances):
        listed = routing_parts.registration(0)
        for instance in instances:
            instance.hear(listed, LIMIT_PER_S)
        (owner,) = [one for one in instances if one.owns(listed)]
        for instance in instances:
            instance.known.remove(owner.own.instance_id)
        granted = await count_granted(instances, listed, 2.0)
        assert granted <= most_granted(2.0)

    run_instances(scenario)


@pytest.mark.parametrize('count', [9, 195])
def test_instances_that_the_store_turns_away_keep_to_half_of_a_limit(count):
    """They do not see that their registrations have ended.

    The others have removed them and use the whole limit with a new owner.
    """

    async def scenario(instances):
        listed = routing_parts.registration(0)
        for instance in instances:
            instance.hear(listed, LIMIT_PER_S)
        (owner,) = [one for one in instances if one.owns(listed)]
        others = [one for one in instances if one is not owner]
        turned_away = [owner, *others[: count // 2]]
        for instance in turned_away:
            instance.known.record_own_lease(boot_clock.now())
            for other in instances:
                if other not in turned_away:
                    other.known.remove(instance.own.instance_id)
        granted = await count_granted(instances, listed, WINDOW_S)
        assert granted <= 1.5 * LIMIT_PER_S * WINDOW_S + 5
        assert granted >= LIMIT_PER_S * WINDOW_S

    run_instances(scenario, count=count)


@pytest.mark.parametrize('count', [9, 195])
def test_instances_that_are_not_told_of_a_limit_keep_it_from_their_answers(
    count,
):
    """They send freely until their first answer, which names the limit."""

    async def scenario(instances):
        untold = Untold(instances, routing_parts.registration(0))
        counted = await untold.count_sent(WINDOW_S)
        assert counted <= 1.5 * LIMIT_PER_S * WINDOW_S + 5

    run_instances(scenario, count=count)
