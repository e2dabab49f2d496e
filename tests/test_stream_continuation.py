"""Test which answers may continue a stream that the caller has begun to get."""

import forwarding_site
import pytest

from emulator import scripted_answer

END = scripted_answer.ConnectionEnd
STREAM = {'repeatable': True, 'streaming': True, 'max_servers': 3}
SIGNED = (
    b'X-Request-Id: {id}\r\nX-Response-Signature: signed\r\n'
    b'Content-Type: %s\r\n'
)
EVENT_STREAM = SIGNED % b'text/event-stream; charset=utf-8'
JSON = SIGNED % b'application/json'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
LAST_CHUNK = b'0\r\n\r\n'
ERROR_TEXT = b'{"error": "no such\n\nmodel"}'
LONG_ERROR = ERROR_TEXT * 20_000
ERROR_EVENT = b'event: error\ndata: {"error": "no such model"}\n\n'


def event(number: int) -> bytes:
    return b'id: %d\ndata: word%d\n\n' % (number, number)


def chunk(text: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(text), text)


def answer(
    status: bytes,
    headers: bytes,
    body: bytes,
    end: scripted_answer.ConnectionEnd = END.kept,
) -> scripted_answer.ScriptedAnswer:
    return scripted_answer.ScriptedAnswer(
        b'HTTP/1.1 %s\r\n%s\r\n%s' % (status, headers, body), end
    )


def with_length(
    status: bytes, headers: bytes, body: bytes
) -> scripted_answer.ScriptedAnswer:
    length = b'Content-Length: %d\r\n' % len(body)
    return answer(status, headers + length, body)


def in_chunks(
    status: bytes, headers: bytes, body: bytes
) -> scripted_answer.ScriptedAnswer:
    return answer(status, headers + CHUNKED, chunk(body) + LAST_CHUNK)


def until_close(
    status: bytes, headers: bytes, body: bytes
) -> scripted_answer.ScriptedAnswer:
    return answer(status, headers, body, END.closed)


# Two events, then the connection closes.
BEGUN = answer(
    b'200 OK',
    EVENT_STREAM + CHUNKED,
    chunk(event(1) + event(2)),
    END.closed,
)
FRAMINGS = (with_length, in_chunks, until_close)
NO_CONTINUATION = [
    frame(status, headers, body)
    for status, headers, body in (
        (b'500 Internal Server Error', JSON, ERROR_TEXT),
        (b'500 Internal Server Error', JSON, LONG_ERROR),
        (b'500 Internal Server Error', EVENT_STREAM, event(3)),
        (b'404 Not Found', JSON, ERROR_TEXT),
        (b'404 Not Found', JSON, LONG_ERROR),
        (b'302 Found', JSON, LONG_ERROR),
        (b'503 Service Unavailable', JSON, LONG_ERROR),
        (b'200 OK', JSON, ERROR_TEXT),
        (b'200 OK', JSON, ERROR_TEXT + b'\n\n'),
        (b'200 OK', JSON, LONG_ERROR),
        (b'200 OK', JSON, b''),
        (b'200 OK', SIGNED % b'text/plain', b'a line\n\nanother\n\n'),
        (b'201 Created', EVENT_STREAM, event(3)),
        (b'202 Accepted', JSON, b''),
        (b'206 Partial Content', EVENT_STREAM, event(3) + event(4)),
        (b'200 OK', EVENT_STREAM, ERROR_EVENT),
        (b'200 OK', EVENT_STREAM, ERROR_EVENT + event(3)),
        (b'200 OK', EVENT_STREAM, ERROR_TEXT + b'\n\n'),
        (b'200 OK', EVENT_STREAM, event(3) + b'{"error": "no"}'),
        (b'200 OK', EVENT_STREAM + b'Content-Encoding: gzip\r\n', event(3)),
        (b'200 OK', b'X-Request-Id: {id}\r\n', event(3)),
    )
    for frame in FRAMINGS
] + [
    answer(b'204 No Content', EVENT_STREAM, b''),
    answer(b'204 No Content', JSON, b''),
    answer(b'304 Not Modified', JSON, b''),
    answer(b'101 Switching', b'Upgrade: x\r\n', event(3)),
    answer(b'500 Error', JSON + b'Content-Le', b'', END.closed),
    answer(b'500 Error', JSON + b'Content-Le', b'', END.reset),
    answer(b'200 OK', EVENT_STREAM + CHUNKED, chunk(event(3)), END.closed),
    scripted_answer.ScriptedAnswer(b'HTTP/1.1 500 Err', END.closed),
    scripted_answer.ScriptedAnswer(b'HTTP/1.1 500 Err', END.reset),
    scripted_answer.ScriptedAnswer(event(3) + event(4), END.closed),
]
# The answer to this request may follow.
LATE = [
    frame(
        b'200 OK',
        EVENT_STREAM.replace(b'{id}', b'another'),
        event(3) + event(4),
    )
    for frame in FRAMINGS
]


def ask(scripts, **route_changes):
    """Return what a caller gets for answers of workers in turn."""

    async def work(site):
        shared = list(scripts)
        for worker in site.workers:
            worker.scripted_answers = shared
        return await site.ask(x_deadline_ms='400')

    return forwarding_site.run(work, workers=3, **(STREAM | route_changes))


@pytest.mark.parametrize('second', NO_CONTINUATION + LATE)
def test_an_answer_that_is_no_continuation_is_joined_to_a_stream(second):
    """Its head or body came within the stream, or ended it as complete."""
    got = ask([BEGUN, second], max_servers=2)
    assert got.status == 200
    assert not got.whole
    assert got.body in {event(1) + event(2), event(1) + event(2) + event(3)}


@pytest.mark.parametrize('second', NO_CONTINUATION)
def test_a_stream_goes_on_after_an_answer_that_is_no_continuation(second):
    rest = in_chunks(b'200 OK', EVENT_STREAM, event(3) + event(4))
    got = ask([BEGUN, second, rest])
    assert (got.status, got.whole) == (200, True)
    assert got.body == b''.join(map(event, range(1, 5)))


def cut(
    status: bytes, headers: bytes, body: bytes
) -> list[scripted_answer.ScriptedAnswer]:
    """Return answers that are cut after the body, in both framings."""
    missing = len(event(1) + event(2))
    length = b'Content-Length: %d\r\n' % (len(body) + missing)
    return [
        answer(status, headers + CHUNKED, chunk(body), END.closed),
        answer(status, headers + length, body, END.closed),
    ]


@pytest.mark.parametrize(
    'first',
    [
        first
        for body in (
            b'data: no id\n\n',
            event(1) + b'data: no id\n\n',
            event(1) + b'data: no id\n\n: a comment\n\n',
        )
        for first in cut(b'200 OK', EVENT_STREAM, body)
    ]
    + cut(b'200 OK', JSON, LONG_ERROR)
    + cut(b'500 Error', JSON, LONG_ERROR),
)
def test_a_second_run_is_joined_where_no_id_shows_its_place(first):
    rest = in_chunks(b'200 OK', EVENT_STREAM, event(1) + event(2))
    got = ask([first, rest])
    assert not got.whole
    assert event(2) not in got.body


@pytest.mark.parametrize('frame', FRAMINGS)
@pytest.mark.parametrize(
    'body',
    [
        event(3) + event(4),
        event(1) + event(2) + event(3) + event(4),
        event(3) + b': still here\n\n' + event(4),
    ],
)
def test_a_continuation_is_forwarded(frame, body):
    got = ask([BEGUN, frame(b'200 OK', EVENT_STREAM, body)])
    expected = event(1) + event(2) + body[body.index(event(3)) :]
    assert (got.status, got.body, got.whole) == (200, expected, True)
