"""Test that fields of a trailer are not taken for fields of the head."""

import asyncio

import forwarding_site
import pytest
import test_cut_answers as answers

from emulator import scripted_answer
from oatcrank.transport import limits

CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
HEAD_END = b'\r\n\r\n'


def request(trailer: bytes, **headers) -> bytes:
    """Return a request in chunks with a trailer."""
    text = forwarding_site.request(body=b'', **headers)
    head = text[: -len(b'Content-Length: 0\r\n\r\n')]
    return head + CHUNKED + b'5\r\nhello\r\n0\r\n' + trailer + b'\r\n'


@pytest.mark.parametrize(
    ('name', 'trailer'),
    [
        ('x-note', b'X-Note: 1\r\n'),
        ('x-hold', b'X-Hold: 1\r\n'),
        ('x-model', b'X-Model: other\r\n'),
        ('authorization', b'Authorization: Bearer other\r\n'),
        ('x-prompt-prefix', b'X-Prompt-Prefix: ab:1\r\n'),
    ],
)
def test_a_trailer_of_a_request_is_forwarded_as_headers(name, trailer):
    async def work(site):
        answer = await site.ask(request(trailer))
        assert answer.status == 200
        (received,) = [
            received
            for worker in site.workers
            for received in worker.received_requests
        ]
        assert name not in received.header_by_name
        assert received.body == b'hello'

    forwarding_site.run(work)


@pytest.mark.parametrize('named', ['x-request-id', 'x-note'])
def test_a_trailer_of_a_request_removes_its_headers(named):
    async def work(site):
        trailer = b'Connection: %s\r\n' % named.encode()
        assert (await site.ask(request(trailer, x_note='1'))).status == 200
        (received,) = [
            received
            for worker in site.workers
            for received in worker.received_requests
        ]
        assert named in received.header_by_name

    forwarding_site.run(work)


@pytest.mark.parametrize(
    'endless', [b'X-Note: ' + b'x' * 4000, b'X-Note: 1\r\n' * 400]
)
def test_a_trailer_of_a_request_has_no_limit(endless):
    async def work(site):
        site.limits = limits.Limits(max_header_bytes=2000)
        caller = await forwarding_site.Caller.open(site.port)
        try:
            caller.writer.write(request(b'')[: -len(b'\r\n')])
            await asyncio.sleep(0.05)
            caller.writer.write(endless)
            async with asyncio.timeout(1):
                assert (await caller.read()).status == 431
        finally:
            caller.close()
        assert not site.runs()
        assert (await site.ask(body=b'y' * 9000)).status == 200
        assert (await site.ask(request(b'X-Note: 1\r\n'))).status == 200

    forwarding_site.run(work)


@pytest.mark.parametrize('route', answers.ROUTES)
@pytest.mark.parametrize(
    'field',
    [
        b'X-Note: 1',
        b'X-Not-Executed: 1',
        b'X-Request-Id: another',
        b'Content-Encoding: gzip',
        b'Connection: x-response-signature',
    ],
)
def test_a_trailer_of_an_answer_is_taken_for_headers(route, field):
    """It made a request that had run count as not run, and run again."""
    whole = answers.whole_answer(route, answers.chunked, b'')
    template = whole[: -len(b'\r\n')] + field + HEAD_END

    async def work(site):
        for worker in site.workers:
            worker.scripted_answers = [scripted_answer.ScriptedAnswer(template)]
        got = await site.ask()
        assert (got.status, got.whole) == (200, True)
        assert got.body == answers.whole_body(route)
        assert got.header_by_name['x-request-id'] == 'request-1'
        assert 'x-response-signature' in got.header_by_name
        assert 'x-note' not in got.header_by_name
        assert site.runs() == 1

    forwarding_site.run(work, **answers.ROUTES[route])


@pytest.mark.parametrize('route', answers.ROUTES)
def test_a_signature_in_a_trailer_signs_an_answer(route):
    """It may come after the head was sent to the caller."""
    whole = answers.whole_answer(route, answers.chunked, b'')
    signature = b'X-Response-Signature: signed\r\n'
    template = whole.replace(signature, b'')[:-2] + signature + b'\r\n'

    async def work(site):
        for worker in site.workers:
            worker.scripted_answers = [scripted_answer.ScriptedAnswer(template)]
        assert (await site.ask()).status == 502

    forwarding_site.run(work, **answers.ROUTES[route])
