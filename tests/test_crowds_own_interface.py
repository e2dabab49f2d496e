"""Test that clients that do not behave end no instance of `oatcrank serve`."""

import asyncio
import contextlib
import pathlib

import crowds
import jsonc
import msgspec
import process_usage
import pytest

from emulator import launched_process, launcher, running_site, sites
from oatcrank import errors, rpc
from oatcrank.entry import address_handler

ROOT = pathlib.Path(__file__).parent.parent
MEMORY_MB = 128
DESCRIPTORS = 400
FILE_DESCRIPTORS = 200
SEND_S = 12.0
ASK_S = 30.0
ASK_PAUSE_S = 0.5
CROWD = crowds.Crowd
CROWD_BY_NAME = {
    'small_requests': CROWD(20, crowds.small_requests),
    'unended_heads': CROWD(300, crowds.unended_head),
    'endless_heads': CROWD(60, crowds.endless_head),
    'small_chunks': CROWD(8, crowds.small_chunks),
    'bodies_with_length': CROWD(40, crowds.body_with_length),
    'idle_connections': CROWD(300, crowds.nothing),
}


def write_settings(
    path: pathlib.Path, site: running_site.RunningSite, port: int
) -> None:
    example = ROOT / 'examples' / site.site.name / 'settings.json'
    chosen = jsonc.loads(example.read_text(encoding='utf-8'))
    chosen['listen'] = {'host': '127.0.0.1', 'port': port}
    chosen['platform'] |= {
        'key_value': site.key_value.address,
        'instance_list': site.instance_list.address,
        'weight_store': site.weight_store.address,
    }
    chosen['limits'] |= {'memory_mb': MEMORY_MB, 'descriptors': DESCRIPTORS}
    path.write_bytes(msgspec.json.encode(chosen))


async def is_answered(entry: launched_process.LaunchedProcess) -> bool:
    """Ask for addresses, again if that is refused."""
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + ASK_S
    with contextlib.closing(rpc.Rpc()) as client:
        while loop.time() < ends_s:
            with contextlib.suppress(errors.OatcrankError, OSError):
                await client.get(
                    entry.address,
                    '/v1/addresses',
                    address_handler.Addresses,
                    timeout_s=5,
                )
                return True
            await asyncio.sleep(ASK_PAUSE_S)
    return False


async def check_crowd(directory: pathlib.Path, crowd: crowds.Crowd) -> None:
    async with launcher.Launcher(directory) as started:
        port = launcher.free_port()
        site = running_site.RunningSite(
            started, sites.SITE_BY_NAME['yard'], directory
        )
        await site.start_platform_and_servers([port])
        path = directory / 'settings.json'
        write_settings(path, site, port)
        entry = await started.start_entry(path)
        running = crowds.RunningCrowd(crowd, port)
        try:
            await running.send(SEND_S)
            sockets = process_usage.socket_count(entry.pid)
            answered = await is_answered(entry)
            assert process_usage.peak_mb(entry.pid) <= MEMORY_MB
            assert sockets <= DESCRIPTORS - FILE_DESCRIPTORS
            assert answered
        finally:
            running.close()


@pytest.mark.parametrize('name', CROWD_BY_NAME)
def test_a_crowd_uses_up_an_instance_of_the_own_interface(tmp_path, name):
    asyncio.run(check_crowd(tmp_path, CROWD_BY_NAME[name]))
