"""Check what instances learn of each other and of accepted changes."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from oatcrank import ids
from oatcrank.membership import cells, instance_list
from tests import configuration_parts, entry_parts

Site = Callable[
    [list[entry_parts.Entry], configuration_parts.LateKeyValue],
    Awaitable[None],
]


def with_entries(act: Site, count: int = 5) -> None:
    async def run() -> None:
        store = configuration_parts.LateKeyValue()
        listing = entry_parts.Listing()
        entries = [
            entry_parts.Entry(f'e{index}', store, listing)
            for index in range(count)
        ]
        for one in entries:
            one.start()
        try:
            await entry_parts.until(
                lambda: {len(each.names()) for each in entries} == {count},
            )
            await entry_parts.until(
                lambda: not any(each.follower.isolated for each in entries),
            )
            await act(entries, store)
        finally:
            await entry_parts.stop_all(entries)

    asyncio.run(run())


async def accept_everywhere(
    entries: list[entry_parts.Entry],
    at: entry_parts.Entry,
) -> None:
    number = at.parts.log.newest + 1
    wanted = configuration_parts.proposal(f'c{number}', name=f'n{number}')
    await at.parts.writer.accept(wanted)
    await entry_parts.until(
        lambda: all(one.parts.log.newest >= number for one in entries),
    )


async def cut_from_service(
    entries: list[entry_parts.Entry],
    store: configuration_parts.LateKeyValue,
) -> None:
    for one in entries[1:]:
        one.link.cut = True
    await accept_everywhere(entries, entries[0])
    assert not any(one.follower.isolated for one in entries)


async def cut_from_peers(
    entries: list[entry_parts.Entry],
    store: configuration_parts.LateKeyValue,
) -> None:
    for one in entries:
        one.rpc.cut = True
    await accept_everywhere(entries, entries[0])
    assert not any(one.follower.isolated for one in entries)


async def cut_from_both(
    entries: list[entry_parts.Entry],
    store: configuration_parts.LateKeyValue,
) -> None:
    lost = entries[-1]
    lost.link.cut = True
    lost.rpc.cut = True
    lost.server.stop()
    await entry_parts.until(lambda: lost.follower.isolated)
    await accept_everywhere(entries[:-1], entries[0])
    assert lost.parts.log.newest == 0
    lost.link.cut = False
    await accept_everywhere(entries, entries[0])
    await entry_parts.until(lambda: not lost.follower.isolated)


async def replaced_with_nothing(
    entries: list[entry_parts.Entry],
    store: configuration_parts.LateKeyValue,
) -> None:
    await accept_everywhere(entries, entries[0])
    listing = entry_parts.Listing()
    await entries[1].stop()
    # In an outage the new start cannot be counted: peers must outbid it.
    fresh = entry_parts.Entry('e1', store, listing)
    for one in (entries[0], entries[2]):
        listing.instances[one.membership.this.instance_id] = (
            instance_list.Instance(
                instance_id=one.membership.this.instance_id,
                kind=instance_list.Kind.entry,
                address=one.membership.this.address,
                failure_domain=ids.FailureDomain('d'),
            )
        )
    fresh.link.cut = True
    entries[1] = fresh
    fresh.start()
    await entry_parts.until(lambda: fresh.parts.log.newest == 1)
    await entry_parts.until(lambda: not fresh.follower.isolated)
    address = fresh.membership.this.address

    def known_everywhere() -> bool:
        return all(
            address in {found.address for found in one.membership.alive()}
            for one in entries
        )

    await entry_parts.until(known_everywhere)


async def leaves_then_dies(
    entries: list[entry_parts.Entry],
    store: configuration_parts.LateKeyValue,
) -> None:
    gone = entries[-1]
    gone.membership.leave()
    first = entries[0].membership
    await entry_parts.until(lambda: len(first.directory()) == 4)
    assert len(first.alive()) == 5
    await gone.stop()
    await entry_parts.until(
        lambda: all(len(one.names()) == 4 for one in entries[:-1]),
    )


async def documents_spread(
    entries: list[entry_parts.Entry],
    store: configuration_parts.LateKeyValue,
) -> None:
    for version, one in enumerate(entries, start=1):
        one.membership.documents.put('plan/p', version, f'v{version}')

    def agreed() -> bool:
        found = [one.membership.documents.get('plan/p') for one in entries]
        return all(one is not None and one.text == 'v5' for one in found)

    await entry_parts.until(agreed)


@pytest.mark.parametrize(
    'act',
    [
        cut_from_service,
        cut_from_peers,
        cut_from_both,
        replaced_with_nothing,
        leaves_then_dies,
        documents_spread,
    ],
)
def test_entries(act: Site) -> None:
    with_entries(act)


@pytest.mark.parametrize('listed', [True, False])
def test_alone_without_service(listed: bool) -> None:
    async def run() -> None:
        store = configuration_parts.LateKeyValue()
        listing = entry_parts.Listing()
        one = entry_parts.Entry('e0', store, listing)
        assert one.follower.isolated
        one.start()
        await entry_parts.until(lambda: not one.follower.isolated)
        one.link.cut = True
        if listed:
            other = entry_parts.Entry('e1', store, listing)
            await other.stop()
            await entry_parts.until(lambda: one.follower.isolated)
        else:
            before = one.parts.time.now()
            await entry_parts.until(lambda: one.parts.time.now() > before + 1)
            assert not one.follower.isolated
        await one.stop()

    asyncio.run(run())


def test_cells_hold_few_of_one_domain() -> None:
    listed = [
        instance_list.Instance(
            instance_id=f'e{index}',
            kind=instance_list.Kind.entry,
            address='',
            failure_domain=ids.FailureDomain(f'd{index % 3}'),
        )
        for index in range(780)
    ]
    by_id = {
        found.instance_id: cells.cell_of(
            ids.InstanceId(found.instance_id),
            listed,
            cell_size=32,
        )
        for found in listed[::13]
    }
    for name, cell in by_id.items():
        assert name in cell
        assert 1 < len(cell) <= 32
        assert len({int(other[1:]) % 3 for other in cell}) == 1
    assert (
        len(cells.cell_of(ids.InstanceId('x'), listed[:9], cell_size=32)) == 10
    )
