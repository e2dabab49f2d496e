"""Test that answers without a body carry nothing of one to callers."""

import forwarding_site
import pytest

from emulator import scripted_answer

HEADERS = (
    b'X-Request-Id: {id}\r\nX-Response-Signature: signed\r\n'
    b'Content-Type: %s\r\n'
)
JSON = HEADERS % b'application/json'
EVENT_STREAM = HEADERS % b'text/event-stream'
STREAM_ONCE = {'repeatable': False, 'streaming': True, 'max_servers': 1}


async def ask_twice(site, answer):
    """Return both answers to requests on one connection of a caller."""
    for worker in site.workers:
        worker.scripted_answers = [answer]
    caller = await forwarding_site.Caller.open(site.port)
    try:
        first = await caller.ask(forwarding_site.request(x_request_id='one'))
        return first, await caller.ask(
            forwarding_site.request(x_request_id='two')
        )
    finally:
        caller.close()


@pytest.mark.parametrize('streaming', [True, False])
@pytest.mark.parametrize(
    'headers', [JSON, EVENT_STREAM], ids=['json', 'events']
)
@pytest.mark.parametrize('status', [204, 304])
def test_an_answer_without_body_is_followed_by_stray_bytes(
    status, headers, streaming
):
    head = b'HTTP/1.1 %d Text\r\n%s\r\n' % (status, headers)

    async def work(site):
        first, second = await ask_twice(
            site, scripted_answer.ScriptedAnswer(head)
        )
        assert first.status == status
        assert 'transfer-encoding' not in first.header_by_name
        assert 'content-length' not in first.header_by_name
        assert (second.status, second.whole) == (200, True)

    forwarding_site.run(
        work, workers=1, **STREAM_ONCE | {'streaming': streaming}
    )
