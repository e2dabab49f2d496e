"""Test first answers of streaming routes that are no streams of events."""

import forwarding_site
import pytest

from emulator import scripted_answer

CLOSED = scripted_answer.ConnectionEnd.closed
HEADERS = (
    b'X-Request-Id: {id}\r\nX-Response-Signature: signed\r\n'
    b'Content-Type: %s\r\n'
)
JSON = HEADERS % b'application/json'
STREAM_ONCE = {'repeatable': False, 'streaming': True, 'max_servers': 1}
# Parts of it look like events, one of them twice.
TEXT = b'{"a":\nid: 1\n\n"b"}\nid: 1\n\n{"c": 1}'


def framed(head: bytes, body: bytes) -> list[scripted_answer.ScriptedAnswer]:
    """Return an answer in each framing."""
    length = b'Content-Length: %d\r\n' % len(body)
    chunks = b''.join(
        b'%x\r\n%s\r\n' % (len(part), part)
        for part in (body[:5], body[5:])
        if part
    )
    return [
        scripted_answer.ScriptedAnswer(head + length + b'\r\n' + body),
        scripted_answer.ScriptedAnswer(
            head + b'Transfer-Encoding: chunked\r\n\r\n' + chunks + b'0\r\n\r\n'
        ),
        scripted_answer.ScriptedAnswer(head + b'\r\n' + body, CLOSED),
    ]


def rows() -> list[tuple[scripted_answer.ScriptedAnswer, int, bytes]]:
    heads = [
        (200, JSON, TEXT),
        (200, JSON, b'{}'),
        (200, JSON, b''),
        (200, JSON, TEXT * 20_000),
        (201, JSON, TEXT),
        (206, JSON, TEXT),
        (404, JSON, TEXT),
        (500, JSON, TEXT * 20_000),
    ]
    return [
        (answer, status, body)
        for status, headers, body in heads
        for answer in framed(
            b'HTTP/1.1 %d Text\r\n%s' % (status, headers), body
        )
    ]


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


@pytest.mark.parametrize(('answer', 'status', 'body'), rows())
def test_a_plain_answer_is_changed_like_a_stream(answer, status, body):
    async def work(site):
        first, second = await ask_twice(site, answer)
        assert (first.status, first.body, first.whole) == (status, body, True)
        assert (second.status, second.whole) == (200, True)
        assert second.header_by_name['x-request-id'] == 'two'

    forwarding_site.run(work, workers=1, **STREAM_ONCE)
