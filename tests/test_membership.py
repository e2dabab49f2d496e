"""Test that instances learn of each other and of accepted changes."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from oatcrank import ids
from oatcrank.membership import cells, instance_list
from tests import configuration_parts, entry_parts

Scenario = Callable[
    [list[entry_parts.Entry], configuration_parts.LateKeyValue],
    Awaitable[None],
]


def with_entries(scenario: Scenario, count: int = 5) -> None:
    async def run() -> None:
        store = configuration_parts.LateKeyValue()
        listing = entry_parts.FakeInstanceList()
        entries = [
            entry_parts.Entry(f'e{index}', store, listing)
            for index in range(count)
        ]
        for starting in entries:
            starting.start()
        try:
            await entry_parts.wait_until(
                lambda: {len(entry.names()) for entry in entries} == {count},
            )
            await entry_parts.wait_until(
                lambda: not any(entry.follower.isolated for entry in entries),
            )
            await scenario(entries, store)
        finally:
            await entry_parts.stop_all(entries)

    asyncio.run(run())


async def accept_everywhere(
    entries: list[entry_parts.Entry],
    accepting: entry_parts.Entry,
) -> None:
    number = accepting.configuration.log.newest + 1
    wanted = configuration_parts.proposal(f'c{number}', name=f'n{number}')
    await accepting.configuration.writer.accept(wanted)
    await entry_parts.wait_until(
        lambda: all(
            entry.configuration.log.newest >= number for entry in entries
        ),
    )


async def cut_off_from_key_value_service(
    entries: list[entry_parts.Entry],
    store: configuration_parts.LateKeyValue,
) -> None:
    for entry in entries[1:]:
        entry.link.cut = True
    await accept_everywhere(entries, entries[0])
    assert not any(entry.follower.isolated for entry in entries)


async def cut_off_from_peers(
    entries: list[entry_parts.Entry],
    store: configuration_parts.LateKeyValue,
) -> None:
    for entry in entries:
        entry.rpc.cut = True
    await accept_everywhere(entries, entries[0])
    assert not any(entry.follower.isolated for entry in entries)


async def cut_off_from_both(
    entries: list[entry_parts.Entry],
    store: configuration_parts.LateKeyValue,
) -> None:
    lost = entries[-1]
    lost.link.cut = True
    lost.rpc.cut = True
    lost.server.stop()
    await entry_parts.wait_until(lambda: lost.follower.isolated)
    await accept_everywhere(entries[:-1], entries[0])
    assert lost.configuration.log.newest == 0
    lost.link.cut = False
    await accept_everywhere(entries, entries[0])
    await entry_parts.wait_until(lambda: not lost.follower.isolated)


async def restarted_without_state(
    entries: list[entry_parts.Entry],
    store: configuration_parts.LateKeyValue,
) -> None:
    await accept_everywhere(entries, entries[0])
    listing = entry_parts.FakeInstanceList()
    await entries[1].stop()
    # In an outage the start can't be counted, so the instance must raise its
    # incarnation above the one that its peers know.
    fresh = entry_parts.Entry('e1', store, listing)
    for entry in (entries[0], entries[2]):
        listing.instances[entry.membership.own.instance_id] = (
            instance_list.Instance(
                instance_id=entry.membership.own.instance_id,
                kind=instance_list.Kind.entry,
                address=entry.membership.own.address,
                failure_domain=ids.FailureDomain('d'),
            )
        )
    fresh.link.cut = True
    entries[1] = fresh
    fresh.start()
    await entry_parts.wait_until(lambda: fresh.configuration.log.newest == 1)
    await entry_parts.wait_until(lambda: not fresh.follower.isolated)
    address = fresh.membership.own.address

    def known_everywhere() -> bool:
        return all(
            address in {alive.address for alive in entry.membership.alive()}
            for entry in entries
        )

    await entry_parts.wait_until(known_everywhere)


async def leaves_then_dies(
    entries: list[entry_parts.Entry],
    store: configuration_parts.LateKeyValue,
) -> None:
    leaving = entries[-1]
    leaving.membership.leave()
    first = entries[0].membership
    await entry_parts.wait_until(lambda: len(first.accepting_callers()) == 4)
    assert len(first.alive()) == 5
    await leaving.stop()
    await entry_parts.wait_until(
        lambda: all(len(entry.names()) == 4 for entry in entries[:-1]),
    )


async def documents_are_replicated(
    entries: list[entry_parts.Entry],
    store: configuration_parts.LateKeyValue,
) -> None:
    for version, entry in enumerate(entries, start=1):
        entry.membership.documents.put('plan/p', version, f'v{version}')

    def agreed() -> bool:
        documents = [
            entry.membership.documents.get('plan/p') for entry in entries
        ]
        return all(
            document is not None and document.text == 'v5'
            for document in documents
        )

    await entry_parts.wait_until(agreed)


@pytest.mark.parametrize(
    'scenario',
    [
        cut_off_from_key_value_service,
        cut_off_from_peers,
        cut_off_from_both,
        restarted_without_state,
        leaves_then_dies,
        documents_are_replicated,
    ],
)
def test_entries(scenario: Scenario) -> None:
    with_entries(scenario)


@pytest.mark.parametrize('listed', [True, False])
def test_only_instance_without_key_value_service(listed: bool) -> None:
    async def run() -> None:
        store = configuration_parts.LateKeyValue()
        listing = entry_parts.FakeInstanceList()
        entry = entry_parts.Entry('e0', store, listing)
        assert entry.follower.isolated
        entry.start()
        await entry_parts.wait_until(lambda: not entry.follower.isolated)
        entry.link.cut = True
        if listed:
            other = entry_parts.Entry('e1', store, listing)
            await other.stop()
            await entry_parts.wait_until(lambda: entry.follower.isolated)
        else:
            before = entry.configuration.clock.now()
            await entry_parts.wait_until(
                lambda: entry.configuration.clock.now() > before + 1
            )
            assert not entry.follower.isolated
        await entry.stop()

    asyncio.run(run())


def test_cells_are_small_and_within_one_failure_domain() -> None:
    listed = [
        instance_list.Instance(
            instance_id=f'e{index}',
            kind=instance_list.Kind.entry,
            address='',
            failure_domain=ids.FailureDomain(f'd{index % 3}'),
        )
        for index in range(780)
    ]
    cell_by_id = {
        instance.instance_id: cells.cell_of(
            ids.InstanceId(instance.instance_id),
            listed,
            cell_size=32,
        )
        for instance in listed[::13]
    }
    for instance_id, cell in cell_by_id.items():
        assert instance_id in cell
        assert 1 < len(cell) <= 32
        assert len({int(other[1:]) % 3 for other in cell}) == 1
    assert (
        len(cells.cell_of(ids.InstanceId('x'), listed[:9], cell_size=32)) == 10
    )
