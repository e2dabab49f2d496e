"""Test that a stream goes on at the software version that began it."""

import forwarding_site
import pytest

from emulator import platform_worker

MODE = platform_worker.AnswerMode
EVENTS = b''.join(b'id: %d\ndata: word%d\n\n' % (n, n) for n in range(1, 5))
STREAM = {'repeatable': True, 'streaming': True}
TWO_VERSIONS = ('v1', 'v1.1')
MIXED_VERSIONS = [
    ('v1', 'v1.1', 'v1', 'v1.1', 'v1', 'v1.1'),
    ('v1', 'v1', 'v1', 'v1.1', 'v1.1', 'v1.1'),
    ('v1.2', 'v1', 'v1.1', 'v1', 'v1.1', 'v1.2'),
]


def runs_by_version(site, versions) -> list[str]:
    """Return the version of each run."""
    return [
        version
        for worker, version in zip(site.workers, versions, strict=True)
        for _ in worker.executed_request_ids
    ]


async def begin_cut_stream(site) -> None:
    """Send request-1, whose stream is cut after its first event."""
    for worker in site.workers:
        worker.answer_mode = MODE.truncated_stream
    answer = await site.ask()
    assert answer.body.startswith(b'id: 1\n')
    assert not answer.whole
    for worker in site.workers:
        worker.answer_mode = MODE.stream


async def take_up(site, resumed_id: str | None):
    """Take the stream up after its first event."""
    headers = {} if resumed_id is None else {'resumes': resumed_id}
    return await site.ask(
        x_request_id='request-2', last_event_id='1', **headers
    )


def test_a_cut_stream_does_not_go_on_at_another_software_version():
    async def work(site):
        shared = [MODE.truncated_stream, MODE.stream]
        for worker in site.workers:
            worker.next_answer_modes = shared
        answer = await site.ask()
        assert not answer.whole
        assert EVENTS.startswith(answer.body)
        assert site.runs() == 1

    forwarding_site.run(work, **STREAM, registration={'versions': TWO_VERSIONS})


@pytest.mark.parametrize('versions', MIXED_VERSIONS)
def test_a_cut_stream_goes_on_at_its_software_version(versions):
    async def work(site):
        shared = [MODE.truncated_stream, MODE.stream]
        for worker in site.workers:
            worker.next_answer_modes = shared
        answer = await site.ask()
        assert (answer.body, answer.whole) == (EVENTS, True)
        first, second = runs_by_version(site, versions)
        assert first == second

    forwarding_site.run(
        work, workers=6, **STREAM, registration={'versions': versions}
    )


@pytest.mark.parametrize('versions', MIXED_VERSIONS)
def test_a_taken_up_stream_goes_on_at_its_software_version(versions):
    async def work(site):
        await begin_cut_stream(site)
        answer = await take_up(site, 'request-1')
        assert (answer.status, answer.whole) == (200, True)
        assert len(set(runs_by_version(site, versions))) == 1

    forwarding_site.run(
        work, workers=6, **STREAM, registration={'versions': versions}
    )


@pytest.mark.parametrize(
    'resumed_id',
    [
        'request-of-another-instance',
        None,
    ],
)
def test_a_stream_of_unknown_version_goes_on_at_no_server(resumed_id):
    async def work(site):
        answer = await take_up(site, resumed_id)
        assert answer.status == 503
        assert 'retry-after' in answer.header_by_name
        assert site.runs() == 0

    forwarding_site.run(work, **STREAM, registration={'versions': TWO_VERSIONS})
