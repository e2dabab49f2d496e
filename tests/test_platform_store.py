"""Test the client of the platform's store against a stand-in."""

import asyncio

import pytest

from emulator import platform_store
from oatcrank import errors
from oatcrank.cluster import store
from oatcrank.platform import store_client

MODE = platform_store.StoreMode


def with_store(work):
    async def run():
        served = platform_store.PlatformStoreServer()
        served.start()
        try:
            return await work(
                served,
                store_client.PlatformStore(served.address),
            )
        finally:
            served.stop()

    return asyncio.run(run())


def test_written_values_are_read():
    async def work(served, client):
        revision = await client.write(
            store.Transaction(value_by_key={'a/b c&d': b'\x00\xff'}),
        )
        item = await client.read('a/b c&d')
        assert (item.value, item.revision) == (b'\x00\xff', revision)
        assert await client.read('nothing') is None

    with_store(work)


def test_all_pages_are_read():
    async def work(served, client):
        for number in range(120):
            served.store.put(f'servers/{number:03}', b'x')
        snapshot = await client.read_all()
        assert len(snapshot.items) == 120
        assert snapshot.revision == served.store.revision

    with_store(work)


def test_a_watch_returns_writes_and_removals():
    async def work(served, client):
        start = served.store.revision
        watching = asyncio.ensure_future(client.watch(start, 2.0))
        await asyncio.sleep(0.05)
        served.store.put('op/config', b'{}')
        changes = await watching
        assert [item.key for item in changes.items] == ['op/config']
        served.store.remove('op/config')
        changes = await client.watch(changes.revision, 2.0)
        assert changes.items[0].value is None

    with_store(work)


def test_a_watch_without_changes_ends():
    async def work(served, client):
        changes = await client.watch(served.store.revision, 0.05)
        assert not changes.items

    with_store(work)


def test_lost_history_is_an_error():
    async def work(served, client):
        served.store.put('a', b'1')
        served.store.discard_history()
        with pytest.raises(store.HistoryLost):
            await client.watch(1, 0.1)

    with_store(work)


def test_conditions_and_leases():
    async def work(served, client):
        lease = await client.grant_lease(5.0)
        held = store.Transaction(
            expected_revision_by_key={'holder': store.ABSENT},
            value_by_key={'holder': b'me', 'last': b'me'},
            lease_id=lease,
            leased_keys=frozenset(('holder',)),
        )
        await client.write(held)
        with pytest.raises(store.RevisionConflict):
            await client.write(held)
        await client.renew_lease(lease, 1.0)
        await client.end_lease(lease)
        assert await client.read('holder') is None
        assert await client.read('last') is not None
        with pytest.raises(store.LeaseEnded):
            await client.renew_lease(lease, 1.0)
        with pytest.raises(store.LeaseEnded):
            await client.write(held)

    with_store(work)


@pytest.mark.parametrize(
    ('mode', 'read', 'write'),
    [
        (MODE.unavailable, errors.Unavailable, errors.Unavailable),
        (MODE.too_many_requests, errors.Unavailable, errors.Unavailable),
        (MODE.answer_lost, errors.Unavailable, errors.UnknownOutcome),
        (MODE.no_answer, errors.Unavailable, errors.UnknownOutcome),
    ],
)
def test_failures(mode, read, write, monkeypatch):
    monkeypatch.setattr(store_client, 'CALL_TIMEOUT_S', 0.2)

    async def work(served, client):
        served.mode = mode
        with pytest.raises(read):
            await client.read_all()
        with pytest.raises(write):
            await client.write(store.Transaction(value_by_key={'a': b'1'}))

    with_store(work)


def test_a_stopped_store_is_unavailable():
    async def work(served, client):
        served.stop()
        with pytest.raises(errors.Unavailable):
            await client.write(store.Transaction(value_by_key={'a': b'1'}))

    with_store(work)
