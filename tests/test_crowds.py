"""Test that clients that do not behave end no process and keep none busy.

Each test starts a process on loopback, whose settings lower its limits.
"""

import asyncio

import crowds
import platform_site
import pytest

from emulator import endless_answer

MEMORY_MB = 128
MAX_DESCRIPTORS = 400
# Descriptors that are reserved for files.
FILE_DESCRIPTORS = 200
SECTIONS = f"""
[limits]
memory_mb = {MEMORY_MB}
max_fds = {MAX_DESCRIPTORS}
"""
SEND_S = 12.0
# A caller repeats a request that was refused.
ASK_S = 30.0
ASK_PAUSE_S = 0.5
ROUTES = [
    platform_site.route('draft', 'idempotent'),
    platform_site.route('story', 'streaming', resumable=True),
]
# Requests at once while servers do not behave.
REQUESTS = 40
ENDLESS = endless_answer.EndlessMode
CROWD = crowds.Crowd
CROWD_BY_NAME = {
    'heads_with_many_lines': CROWD(20, crowds.heads_with_many_lines),
    'answers_not_read': CROWD(20, crowds.small_requests),
    'unended_heads': CROWD(600, crowds.unended_head),
    'unended_odd_heads': CROWD(600, crowds.unended_odd_head),
    'endless_heads': CROWD(60, crowds.endless_head),
    'empty_lines': CROWD(60, crowds.empty_lines),
    'small_chunks': CROWD(8, crowds.small_chunks),
    'large_chunks': CROWD(40, crowds.large_chunks),
    'bodies_with_length': CROWD(40, crowds.body_with_length),
    'chunk_extensions': CROWD(40, crowds.chunk_extensions),
    'trailers': CROWD(40, crowds.trailers),
    'whole_bodies': CROWD(40, crowds.whole_bodies),
    'idle_connections': CROWD(600, crowds.nothing),
    'mixture': CROWD(120, crowds.mixture),
    'reconnecting_heads': CROWD(100, crowds.unended_head, reconnects=True),
    'control_bodies': CROWD(60, crowds.body_with_length, port='control'),
    'control_idle': CROWD(300, crowds.nothing, port='control'),
    'control_heads': CROWD(60, crowds.unended_head, port='control'),
    'directory_bodies': CROWD(60, crowds.body_with_length, port='directory'),
    'directory_small_chunks': CROWD(8, crowds.small_chunks, port='directory'),
    'directory_idle': CROWD(300, crowds.nothing, port='directory'),
    'ready_idle': CROWD(300, crowds.nothing, port='ready'),
    'metrics_idle': CROWD(300, crowds.nothing, port='metrics'),
    'metrics_requests': CROWD(20, crowds.small_requests, port='metrics'),
}


async def ask_until_answered(site) -> int:
    """Send one ordinary request, again if it is refused; return its status."""
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + ASK_S
    while True:
        request_id = f'ordinary-{loop.time()}'
        answer = await site.ask(site.processes[0], 'draft', request_id)
        if answer.status == 200 or loop.time() > ends_s:
            return answer.status
        await asyncio.sleep(ASK_PAUSE_S)


async def check_crowd(tmp_path, crowd: crowds.Crowd) -> None:
    site = platform_site.PlatformSite(
        tmp_path, workers=2, routes=ROUTES, sections=SECTIONS
    )
    await site.start(processes=1)
    (process,) = site.processes
    running = crowds.RunningCrowd(crowd, getattr(process, crowd.port))
    try:
        await running.send(SEND_S)
        assert process.is_running()
        sockets = process.socket_count()
        status = await ask_until_answered(site)
        assert process.is_running()
        assert process.peak_mb() <= MEMORY_MB
        assert sockets <= MAX_DESCRIPTORS - FILE_DESCRIPTORS
        assert status == 200
    finally:
        running.close()
        await site.stop()


@pytest.mark.parametrize('name', CROWD_BY_NAME)
def test_a_crowd_that_does_not_behave_uses_up_a_process(tmp_path, name):
    asyncio.run(check_crowd(tmp_path, CROWD_BY_NAME[name]))


async def check_servers(tmp_path, mode: endless_answer.EndlessMode) -> None:
    site = platform_site.PlatformSite(
        tmp_path, workers=2, routes=ROUTES, sections=SECTIONS
    )
    await site.start(processes=1)
    (process,) = site.processes
    for worker in site.workers:
        worker.endless_answer = mode.value
    try:
        await asyncio.gather(
            *(
                site.ask(process, prefix, f'{prefix}-{number}')
                for number in range(REQUESTS)
                for prefix in ('draft', 'story')
            ),
            return_exceptions=True,
        )
        for repaired in site.workers:
            repaired.endless_answer = None
        status = await ask_until_answered(site)
        assert process.is_running()
        assert process.peak_mb() <= MEMORY_MB
        assert status == 200
    finally:
        await site.stop()


@pytest.mark.parametrize(
    'mode',
    [ENDLESS.short_headers, ENDLESS.small_chunks, ENDLESS.plain_small_chunks],
    ids=lambda mode: mode.name,
)
def test_servers_that_do_not_behave_use_up_a_process(tmp_path, mode):
    asyncio.run(check_servers(tmp_path, mode))
