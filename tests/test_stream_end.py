"""Test how the end of a server's stream is judged and logged."""

import eliot
import forwarding_site
import pytest

from emulator import platform_worker

MODE = platform_worker.AnswerMode
EVENTS = b''.join(b'id: %d\ndata: word%d\n\n' % (n, n) for n in range(1, 5))
STREAM = {'repeatable': True, 'streaming': True}
STREAM_ONCE = {'repeatable': False, 'streaming': True, 'max_servers': 1}


@pytest.fixture
def messages():
    """Collect the messages that are logged during a test."""
    collected: list[dict] = []
    eliot.add_destinations(collected.append)
    yield collected
    eliot.remove_destination(collected.append)


def logged(messages, event: str) -> list[dict]:
    return [message for message in messages if message['message_type'] == event]


@pytest.mark.parametrize(
    ('mode', 'framing', 'ending', 'event_count', 'partial_bytes'),
    [
        (MODE.stream, 'chunks', 'complete', 4, 0),
        (MODE.truncated_stream, 'chunks', 'broken', 1, 9),
        (MODE.stream_without_length, 'connection_end', 'complete', 4, 0),
        (
            MODE.truncated_stream_without_length,
            'connection_end',
            'complete',
            1,
            9,
        ),
    ],
)
def test_the_log_says_how_a_stream_ended(
    messages, mode, framing, ending, event_count, partial_bytes
):
    async def work(site):
        for worker in site.workers:
            worker.answer_mode = mode
        await site.ask()
        (done,) = logged(messages, 'request_done')
        end = [
            done[name]
            for name in ('framing', 'ending', 'events', 'partial_bytes')
        ]
        assert end == [framing, ending, event_count, partial_bytes]

    forwarding_site.run(work, **STREAM_ONCE)
