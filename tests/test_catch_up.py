"""Test that a copy of the store is compared with the store."""

import asyncio
import random

import pytest
import virtual
from cluster_parts import NoCodec
from test_store_mirror import a_member

from emulator import memory_store
from oatcrank.cluster import catch_up, members, store_mirror, table_updater
from oatcrank.routing import route_table, server_table

FAULT = memory_store.StoreFault


def run(scenario):
    async def work():
        shared = memory_store.MemoryStore()
        client = memory_store.MemoryClient(shared)
        updater = table_updater.TableUpdater(
            NoCodec(),
            route_table.RouteTable(),
            server_table.ServerTable(),
            members.Members(a_member(0, 'north')),
            {},
        )
        mirror = store_mirror.StoreMirror(client, updater, random.Random(1))
        following = asyncio.ensure_future(mirror.run())
        await asyncio.sleep(1)
        try:
            await scenario(
                shared, client, catch_up.CatchUp(client, mirror), following
            )
        finally:
            following.cancel()

    virtual.run(work())


@pytest.mark.parametrize(
    ('follows', 'changes', 'fault', 'expected'),
    [
        (True, 0, FAULT.none, True),
        (True, 3, FAULT.none, True),
        # The instance was suspended and has read nothing since.
        (False, 0, FAULT.none, True),
        (False, 1, FAULT.none, False),
        # The instance has not noticed yet that the store does not answer.
        (False, 0, FAULT.down, False),
    ],
)
def test_a_copy_that_lags_behind_does_not_count_as_caught_up(
    follows, changes, fault, expected
):
    async def scenario(shared, client, catching_up, following):
        if not follows:
            following.cancel()
        for number in range(changes):
            shared.put(f'key-{number}', b'x')
        client.fault = fault
        assert await catching_up.run() == expected

    run(scenario)


def test_calls_that_come_together_share_a_read_that_begins_after_them():
    async def scenario(shared, client, catching_up, _):
        reads = []

        async def read_revision():
            reads.append(shared.revision)
            await asyncio.sleep(0.1)
            return shared.revision

        client.read_revision = read_revision
        early = [asyncio.ensure_future(catching_up.run()) for _ in range(9)]
        await asyncio.sleep(0.05)
        late = [asyncio.ensure_future(catching_up.run()) for _ in range(9)]
        assert all(await asyncio.gather(*early, *late))
        assert len(reads) == 2

    run(scenario)
