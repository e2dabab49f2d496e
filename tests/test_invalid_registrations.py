"""Test that entries of another writer do no harm among those of servers."""

import asyncio
import json

import platform_site
import pytest

from emulator import platform_worker
from oatcrank import ids
from oatcrank.cluster import codec as codec_interface
from oatcrank.cluster import store
from oatcrank.platform import codec
from oatcrank.transport import backend_connection, errors

ENTRY = {
    'backend': platform_site.SERVICE,
    'address': '127.0.0.1:1',
    'zone': 'north',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'seq': 0,
    'born': 1000,
}
DEPTH = 100_000
NESTED = b'[' * DEPTH + b']' * DEPTH


def changed(**fields) -> bytes:
    return json.dumps({**ENTRY, **fields}).encode()


def with_field(name: str, encoded: bytes) -> bytes:
    return changed()[:-1] + b', "%s": %s}' % (name.encode(), encoded)


VALUES = {
    'nested': NESTED,
    'nested in an unknown field': with_field('x', NESTED),
    'nested in a field': with_field('models', NESTED),
    'a number beyond 64 bits': changed(born=10**400),
    'a number of many digits': with_field('seq', b'9' * 5000),
    'a number beyond a float': with_field('slots', b'1e400'),
    'a negative number': changed(slots=-1),
    'a port out of range': changed(address='127.0.0.1:65536'),
    'a port of many digits': changed(address=f'127.0.0.1:{10**30}'),
    'a port below zero': changed(address='127.0.0.1:-1'),
    'a port in other digits': changed(address='127.0.0.1:８０'),
    'port zero': changed(address='127.0.0.1:0'),
    'no host': changed(address=':80'),
    'a host with a line break': changed(address='127.0.0.1\r\nX-A: b:80'),
    'a version that is too long': changed(version='v' * 5000),
    'no UTF-8': b'{"backend": "\xff\xfe"}',
    'half of a surrogate pair': changed(zone='\ud800'),
    'no bytes': b'',
    'null': b'null',
}


@pytest.mark.parametrize('encoded', VALUES.values(), ids=VALUES)
def test_an_invalid_entry_names_no_server_to_use(encoded):
    item = store.Item(
        key='servers/invalid', value=encoded, revision=ids.Revision(7)
    )
    decoded = codec.PlatformCodec().decode(item)
    assert isinstance(decoded, codec_interface.ServerRemoval)


@pytest.mark.parametrize('server_id', ['', 'i 1', 'i-1\r\nX-Hold: 1', 'i-é'])
def test_an_id_that_is_no_header_value_names_no_server(server_id):
    item = store.Item(
        key=f'servers/{server_id}', value=changed(), revision=ids.Revision(7)
    )
    decoded = codec.PlatformCodec().decode(item)
    assert isinstance(decoded, codec_interface.ServerRemoval)


@pytest.mark.parametrize(
    ('host', 'port'),
    [('127.0.0.1', 65536), ('127.0.0.1', -1), ('a' * 64 + '.b', 80), ('\0', 1)],
)
def test_an_address_that_is_none_is_a_failed_connection(host, port):
    async def work():
        with pytest.raises(errors.ConnectFailed):
            await backend_connection.connect(host, port, 1.0)

    asyncio.run(work())


def test_processes_go_on_following_the_store_beside_invalid_entries(tmp_path):
    """An entry that could not be read kept later ones from being seen."""

    async def work():
        site = platform_site.PlatformSite(
            tmp_path,
            workers=1,
            routes=[platform_site.route('read', 'idempotent')],
        )
        for number, encoded in enumerate(VALUES.values()):
            site.store.store.put(f'servers/a-{number}', encoded)
        await site.start(processes=2)
        try:
            for number, encoded in enumerate(VALUES.values()):
                site.store.store.put(f'servers/b-{number}', encoded)
            await _replace_worker(site)
        finally:
            await site.stop()
        logged = ''.join(process.log_text() for process in site.processes)
        assert 'event=task_failed' not in logged
        assert 'event=store_item_not_applied' not in logged

    asyncio.run(work())


async def _replace_worker(site: platform_site.PlatformSite) -> None:
    """Let a new worker take the place of the first one, and use it."""
    (former,) = site.workers
    started = platform_worker.Worker('i-new')
    site.workers.append(started)
    await started.start()
    site.register(started)
    site.store.store.remove(f'servers/{former.worker_id}')
    await asyncio.sleep(2.0)
    answers = [
        await site.ask(process, 'read', f'read-{process.front}')
        for process in site.processes
    ]
    assert [answer.status for answer in answers] == [200, 200]
    assert len(started.executed_request_ids) == 2
