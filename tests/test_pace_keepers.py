"""Test how instances share the prompt schedules of servers, on loopback."""

import asyncio
import socket

import pytest

from oatcrank.cluster import member, members, pace_keepers, pace_messages
from oatcrank.routing import prompt_schedule

# The schedule of one server reserves 40 ms for each.
PROMPT = prompt_schedule.Prompt(tokens=760, max_wait_s=0.1, required=True)


def a_member(number, port):
    return member.Member(
        instance_id=f'instance-{number}',
        started_ms=number,
        failure_domain='north',
        region='here',
        front=f'front-{number}',
        peer=f'peer-{number}',
        ready=True,
        datagrams=f'127.0.0.1:{port}',
    )


def free_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one:
        one.bind(('127.0.0.1', 0))
        return one.getsockname()[1]


def play(work, instances=3):
    """Run some instances that know each other."""

    async def run():
        all_members = [a_member(n, free_port()) for n in range(instances)]
        keepers = []
        for own in all_members:
            known = members.Members(own)
            for other in all_members:
                known.put(other)
            one = pace_keepers.PaceKeepers(known)
            port = int(own.datagrams.rpartition(':')[2])
            await one.start('127.0.0.1', port)
            keepers.append(one)
        try:
            await work(keepers)
        finally:
            for one in keepers:
                one.close()

    asyncio.run(run())


async def took_s(waiting):
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    await asyncio.sleep(await waiting)
    return loop.time() - began_s


def test_prompts_of_all_instances_wait_for_each_other():
    async def work(keepers):
        for server_id in ('server-1', 'server-2', 'server-3', 'server-4'):
            waits = await asyncio.gather(
                *(
                    took_s(keeper.reserve(server_id, PROMPT))
                    for keeper in keepers
                ),
            )
            first, second, third = sorted(waits)
            assert first < 0.03
            assert 0.03 < second < 0.08
            assert 0.07 < third

    play(work)


def test_stopped_schedule_owner_delays_only_its_first_queries():
    async def work(keepers):
        asker, *gone = keepers
        for one in gone:
            one.close()
        await asyncio.sleep(0.01)
        waits = [
            await took_s(asker.reserve(f'server-{number}', PROMPT))
            for number in range(30)
        ]
        slow = [wait_s for wait_s in waits if wait_s > 0.01]
        assert max(waits) < 0.08
        assert len(slow) <= len(gone) * pace_keepers.MAX_MISSES

    play(work)


@pytest.mark.parametrize('datagram', [b'', b'{"type":"query"}', b'\xff\x00'])
def test_malformed_datagram_is_ignored(datagram):
    with pytest.raises(pace_messages.Malformed):
        pace_messages.decode(datagram)

    async def work(keepers):
        keepers[0].datagram_received(datagram, ('127.0.0.1', 9))
        assert await took_s(keepers[0].reserve('server-1', PROMPT)) < 0.05

    play(work, instances=1)
