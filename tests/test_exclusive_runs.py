"""Test how instances keep the runs of suspects apart."""

import asyncio

import pytest

from oatcrank import clock, errors, ids, rpc
from oatcrank.entry import (
    exclusive_run,
    exclusive_run_table,
    shared_exclusive_runs,
)
from oatcrank.membership import member, members

SERVER = ids.ServerId('engine-1')
DURATION_S = 5.0
NAMES = ('entry-1', 'entry-2', 'entry-3')


def run_of(holder: str, server: str = 'engine-1') -> exclusive_run.ExclusiveRun:
    return exclusive_run.ExclusiveRun(
        server=ids.ServerId(server), holder=holder, duration_s=DURATION_S
    )


@pytest.mark.parametrize(
    ('ended', 'elapsed_s', 'second', 'granted'),
    [
        ((), 0, run_of('b'), False),
        # The same request, sent again after a lost answer.
        ((), 0, run_of('a'), True),
        ((), 0, run_of('b', 'engine-2'), True),
        ((run_of('a'),), 0, run_of('b'), True),
        # A run is ended by its own holder only.
        ((run_of('c'),), 0, run_of('b'), False),
        # The holder has crashed and never ends it.
        ((), DURATION_S, run_of('b'), True),
    ],
)
def test_one_exclusive_run_at_a_time(ended, elapsed_s, second, granted):
    manual_clock = clock.ManualClock()
    table = exclusive_run_table.ExclusiveRunTable(manual_clock)
    assert table.begin(run_of('a'))
    for run in ended:
        table.end(run)
    manual_clock.advance(elapsed_s)
    assert table.begin(second) is granted


class Alive(members.Members):
    """All instances, as one of them sees them."""

    def __init__(self, own: str) -> None:
        self._member_by_name = {
            name: member.Member(
                instance_id=ids.InstanceId(name),
                address=name,
                failure_domain=ids.FailureDomain('x'),
                incarnation=1,
            )
            for name in NAMES
        }
        self._own = own

    @property
    def own(self) -> member.Member:
        return self._member_by_name[self._own]

    def alive(self) -> tuple[member.Member, ...]:
        return tuple(self._member_by_name.values())


class DirectRpc(rpc.Rpc):
    """Pass messages to the tables of the other instances."""

    def __init__(self, table_by_name) -> None:
        self._table_by_name = table_by_name
        self.failure_by_name: dict[str, Exception] = {}

    async def post(self, address, path, message, answer_type, *, timeout_s):
        if address in self.failure_by_name:
            raise self.failure_by_name[address]
        table = self._table_by_name[address]
        if path == shared_exclusive_runs.BEGIN_PATH:
            return answer_type(table.begin(message))
        table.end(message)
        return answer_type(granted=True)


def instances(failure=None, failing=()):
    """Return the shared runs of all instances."""
    table_by_name = {
        name: exclusive_run_table.ExclusiveRunTable(clock.ManualClock())
        for name in NAMES
    }
    client = DirectRpc(table_by_name)
    client.failure_by_name = dict.fromkeys(failing, failure)
    return [
        shared_exclusive_runs.SharedExclusiveRuns(
            table_by_name[name], Alive(name), client
        )
        for name in NAMES
    ]


@pytest.mark.parametrize('first', range(3))
@pytest.mark.parametrize('second', range(3))
def test_instances_share_the_exclusive_runs(first, second):
    async def scenario():
        runs = instances()
        run = await runs[first].begin(SERVER, DURATION_S)
        assert run is not None
        assert await runs[second].begin(SERVER, DURATION_S) is None
        await runs[first].end(run)
        assert await runs[second].begin(SERVER, DURATION_S) is not None

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'failure',
    [
        errors.Unavailable('refused'),
        errors.UnknownOutcome('no answer'),
        # An instance of an earlier version knows no exclusive runs.
        rpc.RpcStatusError(404, b''),
    ],
)
def test_a_run_begins_if_no_instance_answers(failure):
    async def scenario():
        for runs in instances(failure, NAMES):
            assert await runs.begin(SERVER, DURATION_S) is not None

    asyncio.run(scenario())
