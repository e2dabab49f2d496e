"""Test that the built file runs an entry instance on its own."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys

import jsonc
import msgspec
import pytest

from emulator import launched_process, launcher, running_site, sites
from oatcrank import rpc
from oatcrank.entry import address_handler

ROOT = pathlib.Path(__file__).parent.parent
# -S disables site-packages, so that libraries come from the built file only.
BUILT = ('-S', str(ROOT / 'dist' / 'oatcrank'))


@pytest.fixture(scope='module', autouse=True)
def built() -> None:
    subprocess.run(['sh', 'build.sh'], cwd=ROOT, check=True)


@pytest.fixture(autouse=True)
def unpacked(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> pathlib.Path:
    root = tmp_path / 'unpacked'
    monkeypatch.setenv('SHIV_ROOT', str(root))
    return root


def write_settings(
    path: pathlib.Path,
    site: running_site.RunningSite,
    port: int,
) -> None:
    example = ROOT / 'examples' / site.site.name / 'settings.json'
    chosen = jsonc.loads(example.read_text(encoding='utf-8'))
    chosen['listen'] = {'host': '127.0.0.1', 'port': port}
    chosen['platform'] |= {
        'key_value': site.key_value.address,
        'instance_list': site.instance_list.address,
        'weight_store': site.weight_store.address,
    }
    chosen['limits']['address_keep_s'] = 1
    path.write_bytes(msgspec.json.encode(chosen))


def children(pid: int) -> list[str]:
    tasks = pathlib.Path(f'/proc/{pid}/task')
    return [
        child
        for path in tasks.glob('*/children')
        for child in path.read_text().split()
    ]


async def addresses(
    entry: launched_process.LaunchedProcess,
) -> address_handler.Addresses:
    client = rpc.Rpc()
    try:
        return await client.get(
            entry.address,
            '/v1/addresses',
            address_handler.Addresses,
            timeout_s=5,
        )
    finally:
        client.close()


@pytest.mark.parametrize(
    ('name', 'stop_signal'),
    [('yard', signal.SIGTERM), ('trilha', signal.SIGINT)],
)
def test_built_file_serves(
    name: str,
    stop_signal: signal.Signals,
    tmp_path: pathlib.Path,
    unpacked: pathlib.Path,
) -> None:
    async def run() -> None:
        async with launcher.Launcher(tmp_path) as started:
            port = launcher.free_port()
            site = running_site.RunningSite(
                started, sites.SITE_BY_NAME[name], tmp_path
            )
            await site.start_platform_and_servers([port])
            path = tmp_path / 'settings.json'
            write_settings(path, site, port)
            serve = [*BUILT, 'serve', '--settings', str(path)]
            entry = await started.start_python('built', serve)
            assert entry.address == f'127.0.0.1:{port}'
            answer = await addresses(entry)
            assert answer.addresses == (entry.address,)
            assert answer.keep_s == 1
            assert children(entry.pid) == []
            os.kill(entry.pid, stop_signal)
            assert await entry.wait() == 0

    asyncio.run(run())
    assert any(unpacked.iterdir())
    log = (tmp_path / 'built.log').read_text()
    for event in ('joining', 'started', 'leaving', 'stopped'):
        assert f'event={event} ' in log
    assert 'event=task_failed' not in log


def test_built_file_prints_its_version() -> None:
    ended = subprocess.run(
        [sys.executable, *BUILT, '--version'], capture_output=True, check=True
    )
    assert ended.stdout.startswith(b'oatcrank ')
