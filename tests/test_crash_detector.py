"""Test which interruptions at a server are reported as those of a crash."""

import asyncio

import msgspec
import pytest
import routing_parts

from emulator import platform_worker
from oatcrank.forwarding import crash_case, crash_detector
from oatcrank.routing import crash, server

REQUEST = crash.RequestKey('1', '2')
INTERRUPTION = crash_case.Interruption(REQUEST)
STARTED_MS = 1000


class Site:
    """A detector, and a worker whose requests are interrupted."""

    def __init__(self) -> None:
        self.worker = platform_worker.Worker()
        self.crashes: list[crash.Crash] = []
        self.whole_s: list[float] = []
        self.detector = crash_detector.CrashDetector(
            lambda report, _: self.crashes.append(report)
        )

    async def start(self) -> None:
        await self.worker.start()
        self.registration = routing_parts.registration(
            1, port=self.worker.port, started_ms=STARTED_MS
        )
        self.server = server.Server(self.registration)

    def interrupt(self, on_whole=None) -> None:
        self.detector.record_interruption(self.server, INTERRUPTION, on_whole)

    def register(self, **changes) -> None:
        """Register another process."""
        self.detector.record_registered(
            msgspec.structs.replace(self.registration, **changes)
        )


def run(work) -> Site:
    """Run a scenario; return its site."""
    site = Site()

    async def run_scenario() -> None:
        await site.start()
        try:
            await work(site)
        finally:
            await site.worker.stop()

    asyncio.run(run_scenario())
    return site


@pytest.mark.parametrize(
    ('open_s', 'crashes'), [(0, 1), (0.3, 1), (1.2, 1), (60, 0)]
)
def test_a_port_that_is_open_for_a_while_hides_a_crash(open_s, crashes):
    async def work(site):
        site.interrupt()
        end_s = crash_detector.CHECK_DELAY_S + crash_case.ENDING_S + 0.3
        await asyncio.sleep(min(open_s, end_s))
        if open_s < end_s:
            await site.worker.stop()
        await asyncio.sleep(end_s - min(open_s, end_s))

    assert len(run(work).crashes) == crashes


@pytest.mark.parametrize(
    ('changes', 'crashes'),
    [
        ({'server_id': 'other'}, 1),
        ({'started_ms': STARTED_MS + 1}, 1),
        ({'started_ms': STARTED_MS - 1}, 0),
        ({}, 0),
        ({'server_id': 'other', 'port': 1}, 0),
    ],
    ids=['same address', 'started again', 'late entry', 'same', 'elsewhere'],
)
def test_a_port_that_the_next_process_takes_over_hides_a_crash(
    changes, crashes
):
    async def work(site):
        site.interrupt()
        await asyncio.sleep(crash_detector.CHECK_DELAY_S + 0.1)
        site.register(**changes)

    assert len(run(work).crashes) == crashes


@pytest.mark.parametrize('answered_after_s', [-0.1, 0.1])
def test_a_process_that_answers_later_has_not_crashed(answered_after_s):
    async def work(site):
        site.interrupt()
        now_s = asyncio.get_running_loop().time()
        site.detector.record_running(site.server, now_s + answered_after_s)
        site.register(server_id='other')

    assert bool(run(work).crashes) is (answered_after_s < 0)


def test_a_server_that_leaves_is_replaced_without_a_crash():
    async def work(site):
        site.server.record_leaving()
        site.interrupt()
        site.register(server_id='other')

    assert not run(work).crashes


@pytest.mark.parametrize(
    ('ends', 'next_id', 'crashes'),
    [(False, None, 0), (True, None, 1), (False, 'other', 1)],
    ids=['it runs on', 'its port closes', 'its port is handed over'],
)
def test_an_answer_that_a_crash_has_cut_counts_as_whole(
    monkeypatch, ends, next_id, crashes
):
    monkeypatch.setattr(crash_case, 'ENDING_S', 0.2)
    monkeypatch.setattr(crash_case, 'REPLACEMENT_S', 0.6)

    async def work(site):
        site.interrupt(site.whole_s.append)
        if ends:
            await site.worker.stop()
        await asyncio.sleep(0.5)
        assert not site.whole_s
        if next_id is not None:
            site.register(server_id=next_id)
        await asyncio.sleep(1)

    site = run(work)
    assert len(site.crashes) == crashes
    assert len(site.whole_s) == (not crashes)


def test_what_came_well_before_the_end_of_a_process_is_suspected(monkeypatch):
    monkeypatch.setattr(crash_case, 'ENDING_S', 0.2)
    earlier = crash.RequestKey('3', '4')

    async def work(site):
        site.detector.record_interruption(
            site.server, crash_case.Interruption(earlier), site.whole_s.append
        )
        await asyncio.sleep(0.5)
        await site.worker.stop()
        site.interrupt()
        await asyncio.sleep(0.3)

    (report,) = run(work).crashes
    assert report.requests == (REQUEST,)


def test_what_is_recorded_of_a_process_is_kept_for_good(monkeypatch):
    monkeypatch.setattr(crash_case, 'ENDING_S', 0.1)
    monkeypatch.setattr(crash_case, 'REPLACEMENT_S', 0.2)

    async def work(site):
        site.interrupt()
        await asyncio.sleep(1)
        site.register(server_id='other')

    assert not run(work).crashes
