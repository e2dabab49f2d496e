"""Test how instances follow the store and update their routing tables."""

import asyncio
import os
import random

import pytest
import routing_parts
import virtual

from emulator import memory_store
from oatcrank import bounded_writer
from oatcrank.cluster import (
    codec,
    member,
    members,
    store_eras,
    store_mirror,
    table_updater,
)
from oatcrank.routing import route_table, server_table

FAULT = memory_store.StoreFault
PREFIX = 'servers/'


class RegistrationCodec(codec.Codec):
    """Decode any value as a registration, and a removed key as its end."""

    def decode(self, item):
        server_id = item.key.removeprefix(PREFIX)
        if item.value is None:
            return codec.ServerRemoval(server_id, 'ended')
        return routing_parts.registration(0, server_id=server_id)


def a_member(number, domain, *, ready=True):
    return member.Member(
        instance_id=f'instance-{number}',
        started_ms=number,
        failure_domain=domain,
        region='here',
        caller_address=f'front-{number}',
        peer_address=f'peer-{number}',
        ready=ready,
    )


def run_mirror(scenario):
    """Follow a store that holds one server."""

    async def run():
        shared = memory_store.MemoryStore()
        shared.put(f'{PREFIX}one', b'x')
        client = memory_store.MemoryClient(shared)
        servers = server_table.ServerTable()
        listener = table_updater.TableUpdater(
            RegistrationCodec(),
            route_table.RouteTable(),
            servers,
            members.Members(a_member(0, 'north')),
            {},
        )
        mirror = store_mirror.StoreMirror(client, listener, random.Random(1))
        task = asyncio.ensure_future(mirror.run())
        await asyncio.sleep(1)
        try:
            await scenario(shared, client, servers)
        finally:
            task.cancel()

    virtual.run(run())


async def outage(client):
    client.fault = FAULT.down
    await asyncio.sleep(3)


def test_changes_are_followed():
    async def scenario(shared, client, servers):
        shared.put(f'{PREFIX}two', b'x')
        shared.remove(f'{PREFIX}one')
        await asyncio.sleep(1)
        assert set(servers.by_id) == {'two'}

    run_mirror(scenario)


def test_all_items_are_read_again_when_history_is_lost():
    async def scenario(shared, client, servers):
        await outage(client)
        shared.put(f'{PREFIX}two', b'x')
        shared.discard_history()
        client.fault = FAULT.none
        await asyncio.sleep(1.5)
        assert set(servers.by_id) == {'one', 'two'}

    run_mirror(scenario)


@pytest.mark.parametrize('history_lost', [False, True])
def test_server_can_register_again_after_a_store_outage(history_lost):
    async def scenario(shared, client, servers):
        await outage(client)
        shared.remove(f'{PREFIX}one')
        if history_lost:
            shared.discard_history()
        client.fault = FAULT.none
        await asyncio.sleep(1.5)
        assert set(servers.by_id) == {'one'}
        await asyncio.sleep(table_updater.REREGISTRATION_GRACE_S + 1)
        assert not servers.by_id

    run_mirror(scenario)


async def restore(shared, client, older):
    """Let the store be away, and return from an older copy."""
    await outage(client)
    shared.return_from(older)
    client.fault = FAULT.none
    await asyncio.sleep(1.5)


def test_a_value_is_followed_that_a_restored_store_numbers_below_a_lost_one():
    async def scenario(shared, client, servers):
        older = shared.take_copy()
        for _ in range(9):
            shared.put(f'{PREFIX}lost', b'x')
        await restore(shared, client, older)
        shared.put(f'{PREFIX}new', b'x')
        await asyncio.sleep(1)
        assert {'one', 'new'} <= servers.by_id.keys()

    run_mirror(scenario)


def test_a_server_that_had_left_is_not_used_again_when_its_entry_is_restored():
    async def scenario(shared, client, servers):
        older = shared.take_copy()
        shared.remove(f'{PREFIX}one')
        await asyncio.sleep(1)
        await restore(shared, client, older)
        assert not servers.by_id
        shared.put(f'{PREFIX}one', b'x')
        await asyncio.sleep(1)
        assert set(servers.by_id) == {'one'}

    run_mirror(scenario)


@pytest.mark.parametrize('registers_again', [False, True])
def test_a_server_whose_entry_is_lost_has_time_to_register_again(
    registers_again,
):
    async def scenario(shared, client, servers):
        older = shared.take_copy()
        shared.put(f'{PREFIX}two', b'x')
        await asyncio.sleep(1)
        await restore(shared, client, older)
        assert set(servers.by_id) == {'one', 'two'}
        if registers_again:
            shared.put(f'{PREFIX}two', b'x')
        await asyncio.sleep(table_updater.REREGISTRATION_GRACE_S + 1)
        assert ('two' in servers.by_id) == registers_again

    run_mirror(scenario)


def test_a_restored_store_is_noticed_without_an_outage():
    async def scenario(shared, client, servers):
        older = shared.take_copy()
        shared.put(f'{PREFIX}two', b'x')
        await asyncio.sleep(1)
        shared.return_from(older)
        await asyncio.sleep(1)
        assert set(servers.by_id) == {'one', 'two'}
        await asyncio.sleep(table_updater.REREGISTRATION_GRACE_S)
        assert set(servers.by_id) == {'one'}

    run_mirror(scenario)


def test_a_second_outage_gives_servers_the_whole_time_again():
    async def scenario(shared, client, servers):
        await outage(client)
        client.fault = FAULT.none
        shared.put(f'{PREFIX}one', b'x')
        await asyncio.sleep(table_updater.REREGISTRATION_GRACE_S - 0.6)
        older = memory_store.MemoryStore().take_copy()
        shared.return_from(older)
        await asyncio.sleep(table_updater.REREGISTRATION_GRACE_S - 0.1)
        assert set(servers.by_id) == {'one'}
        await asyncio.sleep(0.5)
        assert not servers.by_id

    run_mirror(scenario)


def test_a_copy_knows_no_changes_of_another_era():
    """An instance that already follows the next era asks for them."""

    async def scenario(shared, client, servers):
        listener = table_updater.TableUpdater(
            RegistrationCodec(),
            route_table.RouteTable(),
            servers,
            members.Members(a_member(0, 'north')),
            {},
        )
        mirror = store_mirror.StoreMirror(client, listener, random.Random(2))
        following = asyncio.ensure_future(mirror.run())
        await asyncio.sleep(1)
        assert mirror.is_complete_after(mirror.revision)
        later = store_eras.revision(shared.era + 1, 1)
        assert not mirror.is_complete_after(later)
        following.cancel()

    run_mirror(scenario)


class FailingCodec(RegistrationCodec):
    """Fail to decode one key."""

    def decode(self, item):
        if item.key == f'{PREFIX}failing':
            raise ArithmeticError(item.key)
        return super().decode(item)


@pytest.mark.parametrize('is_new', [False, True])
def test_a_value_that_fails_to_be_applied_keeps_no_other_from_that(is_new):
    async def run():
        shared = memory_store.MemoryStore()
        client = memory_store.MemoryClient(shared)
        servers = server_table.ServerTable()
        listener = table_updater.TableUpdater(
            FailingCodec(),
            route_table.RouteTable(),
            servers,
            members.Members(a_member(0, 'north')),
            {},
        )
        mirror = store_mirror.StoreMirror(client, listener, random.Random(1))
        following = asyncio.ensure_future(mirror.run())
        if is_new:
            await asyncio.sleep(1)
        for name in ('failing', 'one'):
            shared.put(f'{PREFIX}{name}', b'x')
        await asyncio.sleep(1)
        assert not following.done()
        following.cancel()
        assert set(servers.by_id) == {'one'}

    virtual.run(run())


@pytest.mark.parametrize(
    ('domain', 'ready', 'expected'),
    [
        ('north', (True, True, True), ['front-1', 'front-0']),
        # With too few near, others follow after the near ones.
        ('south', (True, True, True), ['front-2', 'front-1', 'front-0']),
        ('north', (True, False, True), ['front-0', 'front-2']),
        ('north', (False, False, False), []),
    ],
)
def test_addresses_for_callers(domain, ready, expected):
    table = members.Members(a_member(0, 'north', ready=ready[0]))
    table.put(a_member(1, 'north', ready=ready[1]))
    table.put(a_member(2, 'south', ready=ready[2]))
    assert table.caller_addresses(domain, 'here') == expected


def test_slow_log_reader_loses_lines_without_blocking():
    reader, descriptor = os.pipe()
    writer = bounded_writer.BoundedWriter(descriptor)
    for _ in range(bounded_writer.BURST_LINES * 2):
        writer.write(f'{"x" * 500}\n')
    written = os.read(reader, 1_000_000)
    assert written.startswith(b'xxx')
    os.close(reader)
    writer.write('nobody reads this\n')
    os.close(descriptor)
