"""Test how instances share the prompt schedules of servers, on loopback."""

import asyncio
import socket

import ports
import pytest

from oatcrank.cluster import (
    datagram_endpoint,
    datagram_messages,
    distributed_prompt_scheduler,
    member,
    members,
    owner_queries,
)
from oatcrank.routing import prompt_schedule

# The schedule of one server reserves 40 ms for each.
PROMPT = prompt_schedule.Prompt(tokens=760, max_wait_s=0.1, required=True)


def a_member(number, port):
    return member.Member(
        instance_id=f'instance-{number}',
        started_ms=number,
        failure_domain='north',
        region='here',
        caller_address=f'front-{number}',
        peer_address=f'peer-{number}',
        ready=True,
        datagram_address=f'127.0.0.1:{port}',
    )


def free_port():
    """Return a port that no other instance of the test has."""
    return ports.free_port(socket.SOCK_DGRAM)


def run_instances(scenario, instances=3):
    """Run some instances that know each other."""

    async def run():
        all_members = [a_member(n, free_port()) for n in range(instances)]
        endpoints = []
        schedulers = []
        for own in all_members:
            known = members.Members(own)
            for other in all_members:
                known.put(other)
            endpoint = datagram_endpoint.DatagramEndpoint()
            scheduler = distributed_prompt_scheduler.DistributedPromptScheduler(
                known, endpoint
            )
            await endpoint.start(own.datagram_address)
            endpoints.append(endpoint)
            schedulers.append(scheduler)
        try:
            await scenario(schedulers, endpoints)
        finally:
            for endpoint in endpoints:
                endpoint.close()

    asyncio.run(run())


async def elapsed_s(reservation):
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    await asyncio.sleep(await reservation)
    return loop.time() - started_s


def test_prompts_of_all_instances_wait_for_each_other():
    async def scenario(schedulers, _):
        for server_id in ('server-1', 'server-2', 'server-3', 'server-4'):
            waits = await asyncio.gather(
                *(
                    elapsed_s(scheduler.reserve(server_id, PROMPT))
                    for scheduler in schedulers
                ),
            )
            first, second, third = sorted(waits)
            assert first < 0.03
            assert 0.03 < second < 0.08
            assert 0.07 < third

    run_instances(scenario)


def test_stopped_schedule_owner_delays_only_its_first_queries():
    async def scenario(schedulers, endpoints):
        client = schedulers[0]
        stopped = endpoints[1:]
        for endpoint in stopped:
            endpoint.close()
        await asyncio.sleep(0.01)
        waits = [
            await elapsed_s(client.reserve(f'server-{number}', PROMPT))
            for number in range(30)
        ]
        slow = [wait_s for wait_s in waits if wait_s > 0.01]
        assert max(waits) < 0.08
        assert len(slow) <= len(stopped) * owner_queries.MAX_MISSES

    run_instances(scenario)


@pytest.mark.parametrize('datagram', [b'', b'{"type":"query"}', b'\xff\x00'])
def test_malformed_datagram_is_ignored(datagram):
    with pytest.raises(datagram_messages.Malformed):
        datagram_messages.decode(datagram)

    async def scenario(schedulers, endpoints):
        endpoints[0].datagram_received(datagram, ('127.0.0.1', 9))
        assert await elapsed_s(schedulers[0].reserve('server-1', PROMPT)) < 0.05

    run_instances(scenario, instances=1)
