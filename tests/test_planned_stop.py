"""Test that a planned stop cuts off no request that was taken during it."""

import asyncio
import signal

import forwarding_site
import platform_site
import pytest

# Longer than a stop lasts after it has refused its first requests.
ANSWER_S = 4.5


@pytest.mark.parametrize(
    ('accepts_for_s', 'status', 'runs'),
    [
        # A request of a caller that still uses its old address is served.
        (5.0, 200, 2),
        # A request whose answer the stop may cut off goes elsewhere.
        (0.0, 503, 1),
    ],
)
def test_requests_on_a_kept_connection_during_a_stop(
    accepts_for_s, status, runs
):
    async def work(site):
        caller = await forwarding_site.Caller.open(site.port)
        first = await caller.ask(forwarding_site.request())
        assert first.status == 200
        now_s = asyncio.get_running_loop().time()
        site.forwarder.leave(now_s + 9, now_s + accepts_for_s)
        answer = await caller.ask(
            forwarding_site.request(x_request_id='request-2')
        )
        caller.close()
        assert answer.status == status
        assert answer.header_by_name['connection'] == 'close'
        assert float(answer.header_by_name.get('retry-after', '0')) == 0
        assert site.runs() == runs

    forwarding_site.run(work)


def test_a_pipelined_request_is_refused_once_the_stop_takes_no_more():
    """It was read in time, but would be sent to a server too late."""

    async def work(site):
        for worker in site.workers:
            worker.answer_delay_s = 0.4
        caller = await forwarding_site.Caller.open(site.port)
        now_s = asyncio.get_running_loop().time()
        site.forwarder.leave(now_s + 9, now_s + 0.2)
        second = forwarding_site.request(x_request_id='request-2')
        first = await caller.ask(forwarding_site.request() + second)
        caller.close()
        assert first.status == 200
        await asyncio.sleep(0.2)
        assert site.runs() == 1

    forwarding_site.run(work)


def test_a_stopping_process_cuts_off_no_late_request(tmp_path):
    """A caller that reuses its connection late in a stop lost its request."""

    async def work():
        site = platform_site.PlatformSite(
            tmp_path,
            workers=1,
            routes=[
                platform_site.route('long', 'non_idempotent', timeout_ms=20000)
            ],
        )
        await site.start(processes=1)
        try:
            await _ask_during_stop(site)
        finally:
            await site.stop()

    asyncio.run(work())


async def _ask_during_stop(site: platform_site.PlatformSite) -> None:
    (worker,) = site.workers
    (process,) = site.processes
    worker.answer_delay_s = ANSWER_S
    caller = await forwarding_site.Caller.open(process.front)
    before_stop = asyncio.ensure_future(caller.ask(_long_request('before')))
    await asyncio.sleep(1.0)
    stopping = asyncio.ensure_future(process.end(signal.SIGTERM))
    assert (await before_stop).status == 200
    # The answer was begun before the stop, so the caller keeps the connection.
    answer = await caller.ask(_long_request('during'))
    caller.close()
    await stopping
    assert answer.whole or 'during' not in worker.executed_request_ids


def _long_request(request_id: str) -> bytes:
    return forwarding_site.request(
        target='/long/x', x_request_id=request_id, x_deadline_ms='15000'
    )
