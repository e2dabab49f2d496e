"""Test that what is no status of an answer is no answer.

Read as the head of an interim answer, it kept requests waiting until their
deadline; others were passed on.
"""

import asyncio
import time

import forwarding_site
import pytest
from tornado import httputil

from emulator import scripted_answer
from oatcrank import errors, rpc
from oatcrank.claims import permit
from oatcrank.entry import upstream_connection

AT_ONCE_S = 1.0
PLAIN = {'repeatable': True, 'streaming': False}
STREAM = {'repeatable': True, 'streaming': True}
ONCE = {'repeatable': False, 'streaming': False}
CLOSED = scripted_answer.ConnectionEnd.closed
KEPT = scripted_answer.ConnectionEnd.kept
INVALID_STATUSES = ['000', '001', '099', '101', '600', '999']
WHOLE_BODY = b'Content-Length: 5\r\n\r\nwrong'
BODIES = [
    (WHOLE_BODY, KEPT),
    (b'Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n', KEPT),
    (b'\r\nwrong', CLOSED),
    (b'\r\n', KEPT),
]
HEADERS = b'X-Request-Id: {id}\r\nX-Response-Signature: x\r\n'
# What the stand-in answers otherwise.
SOUND = b'HTTP/1.1 200 OK\r\n' + HEADERS + b'Content-Length: 5\r\n\r\nsound'
INTERIM_WITH_BODY = [
    b'HTTP/1.1 103 Early\r\n' + HEADERS + BODIES[0][0],
    b'HTTP/1.1 103 Early\r\n' + HEADERS + BODIES[1][0],
    b'HTTP/1.1 103 Early\r\n' + HEADERS + BODIES[2][0],
]


def answer(status, body=WHOLE_BODY, end=KEPT):
    head = f'HTTP/1.1 {status} Odd\r\n'.encode()
    return scripted_answer.ScriptedAnswer(head + HEADERS + body, end)


def script(site, faulty):
    """Let the first answer of any server be a faulty one."""
    shared = [faulty]
    for worker in site.workers:
        worker.scripted_answers = shared


@pytest.mark.parametrize('route', [PLAIN, STREAM])
@pytest.mark.parametrize(('body', 'end'), BODIES)
@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_a_request_waits_on_a_server_that_has_answered(
    status, body, end, route
):
    """Another server answers it at once."""

    async def work(site):
        script(site, answer(status, body, end))
        began_s = time.monotonic()
        got = await site.ask()
        assert (got.status, got.whole) == (200, True)
        assert b'wrong' not in got.body
        assert time.monotonic() - began_s < AT_ONCE_S

    forwarding_site.run(work, **route)


@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_a_request_that_may_have_run_is_sent_once_more(status):
    async def work(site):
        script(site, answer(status))
        began_s = time.monotonic()
        got = await site.ask()
        assert got.status == 502
        assert 'x-response-signature' not in got.header_by_name
        assert time.monotonic() - began_s < AT_ONCE_S
        assert sum(len(each.received_requests) for each in site.workers) == 1

    forwarding_site.run(work, **ONCE)


@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_what_follows_an_invalid_answer_is_taken_for_the_answer(status):
    async def work(site):
        faulty = answer(status).template + SOUND
        site.workers[0].scripted_answers = [
            scripted_answer.ScriptedAnswer(faulty)
        ]
        assert (await site.ask()).status == 502

    forwarding_site.run(work, workers=1, **ONCE)


@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_a_server_with_invalid_answers_is_not_held_to_have_failed(status):
    async def work(site):
        for worker in site.workers:
            worker.scripted_answers = [answer(status) for _ in range(20)]
        for _ in range(5):
            assert (await site.ask()).status in {502, 503}
        now_s = site.dependencies.now()
        shares = [
            server.failure_share(now_s)
            for server in site.servers.by_id.values()
        ]
        assert max(shares) > 0

    forwarding_site.run(work, **PLAIN)


@pytest.mark.parametrize('interim', INTERIM_WITH_BODY)
def test_an_interim_answer_with_a_body_is_read_on(interim):
    async def work(site):
        script(site, scripted_answer.ScriptedAnswer(interim + SOUND))
        began_s = time.monotonic()
        got = await site.ask()
        assert (got.status, got.whole) == (200, True)
        assert got.body != b'sound'
        assert time.monotonic() - began_s < AT_ONCE_S

    forwarding_site.run(work, **PLAIN)


@pytest.mark.parametrize('interim', [b'100 Continue', b'103 Early', b'199 X'])
def test_an_answer_after_an_interim_one_is_refused(interim):
    async def work(site):
        sound = b'HTTP/1.1 ' + interim + b'\r\n\r\n' + SOUND
        script(site, scripted_answer.ScriptedAnswer(sound))
        got = await site.ask()
        assert (got.status, got.body) == (200, b'sound')

    forwarding_site.run(work, **PLAIN)


async def with_server(sent, work):
    """Await work(port) beside a server that sends these bytes and closes."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(sent)
        try:
            await writer.drain()
            await asyncio.sleep(0.05)
        finally:
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    try:
        async with asyncio.timeout(5):
            return await work(server.sockets[0].getsockname()[1])
    finally:
        server.close()


async def ask_own_interface(sent):
    """Return the statuses and the body that the own interface takes."""
    statuses = []
    body = bytearray()

    async def is_alive():
        return True

    async def work(port):
        connection = upstream_connection.UpstreamConnection(
            lambda status, headers: statuses.append(status), body.extend
        )
        await connection.run(
            f'127.0.0.1:{port}',
            httputil.RequestStartLine('GET', '/x', ''),
            httputil.HTTPHeaders(),
            b'',
            permit=permit.UnrestrictedPermit(),
            probe=is_alive,
        )

    await with_server(sent, work)
    return statuses, bytes(body)


@pytest.mark.parametrize(('body', 'end'), BODIES)
@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_the_own_interface_passes_an_invalid_answer_on(status, body, end):
    with pytest.raises(errors.Interrupted):
        asyncio.run(ask_own_interface(answer(status, body, end).template))


def test_the_own_interface_takes_an_interim_answer_for_the_answer():
    sent = b'HTTP/1.1 103 Early\r\n\r\n' + SOUND
    assert asyncio.run(ask_own_interface(sent)) == ([200], b'sound')


def test_the_own_interface_reads_interim_answers_without_end():
    sent = b'HTTP/1.1 103 Early\r\n\r\n' * 5000 + SOUND
    with pytest.raises(errors.Interrupted):
        asyncio.run(ask_own_interface(sent))


@pytest.mark.parametrize('status', ['000', '099', '600', '999'])
def test_a_call_takes_an_invalid_answer_for_a_reply(status):
    async def work(port):
        client = rpc.Rpc()
        try:
            await client.fetch(
                f'127.0.0.1:{port}', 'POST', '/x', b'{}', timeout_s=2
            )
        finally:
            client.close()

    sent = answer(status, b'Content-Length: 2\r\n\r\n{}').template
    with pytest.raises(errors.UnknownOutcome):
        asyncio.run(with_server(sent, work))
