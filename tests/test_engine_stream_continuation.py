"""Test which answers of engines may continue a stream that has begun."""

import asyncio

import pytest
import suspects_site

from oatcrank import clock, errors, ids, metrics, refusal
from oatcrank.configuration import profile
from oatcrank.engines import backend_server
from oatcrank.entry import (
    crash_suspects,
    dispatch_request,
    model_dispatcher,
    response_writer,
    retry_budget,
)
from oatcrank.membership import instance_list

EVENTS = 'text/event-stream'
JSON = 'application/json'
FIRST = b'data: {"index": 0}\n\n'
SECOND = b'data: {"index": 1}\n\n'
DONE = b'data: [DONE]\n\n'
ERROR = b'{"error": "no such model"}\n\n'
PROFILE = profile.Profile(
    name=ids.ProfileName('p'), targets=suspects_site.PROFILE.targets
)


class Writer(response_writer.ResponseWriter):
    """Keep what a caller gets."""

    def __init__(self) -> None:
        self.heads: list[tuple[int, str]] = []
        self.body = b''

    def write_head(self, status: int, content_type: str) -> None:
        self.heads.append((status, content_type))

    def write(self, chunk: bytes) -> None:
        self.body += chunk


class Engine:
    """Engine that is alive."""

    async def report(self, *, timeout_s: float):
        raise errors.Unavailable('no report')


class Queue:
    """Use the servers in turn."""

    def __init__(self, servers: list[backend_server.BackendServer]) -> None:
        self.servers = servers

    async def reserve(self, request, *, crashes: int):
        return self.servers.pop(0)

    def release(self, server, model) -> None:
        """Do nothing."""

    def record_service_s(self, model, seconds) -> None:
        """Do nothing."""


def encode(status: int, content_type: str, body: bytes, missing: int = 0):
    """Return the bytes of an answer that lacks some at its end."""
    head = (
        f'HTTP/1.1 {status} Text\r\nContent-Type: {content_type}\r\n'
        f'Content-Length: {len(body) + missing}\r\n\r\n'
    )
    return head.encode() + body


BEGUN = encode(200, EVENTS, FIRST, missing=10)


async def dispatch(answers: list[bytes], *, streams: bool = True) -> Writer:
    """Return what a caller gets for the answers of engines in turn."""
    now = clock.ManualClock()
    left = list(answers)

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(left.pop(0))
        await writer.drain()
        writer.close()

    listening = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = listening.sockets[0].getsockname()[1]
    listed = instance_list.Instance(
        instance_id='a',
        kind=instance_list.Kind.engine,
        address=f'127.0.0.1:{port}',
        failure_domain=ids.FailureDomain('x'),
    )
    server = backend_server.BackendServer(listed, now)
    budget = retry_budget.RetryBudget(0)
    dispatcher = model_dispatcher.ModelDispatcher(
        queue=Queue([server for _ in answers]),
        engine_of=lambda server: Engine(),
        adapters=None,
        suspects=crash_suspects.CrashSuspects(
            limit=30, clock=now, publish=lambda counts: None
        ),
        exclusive_runs=suspects_site.LocalRuns(now),
        budget=budget,
        clock=now,
        metrics=metrics.NoMetrics(),
    )
    for _ in range(100):
        budget.earn()
    writer = Writer()
    request = dispatch_request.ModelRequest(
        request_id=ids.RequestId('r'),
        path='/v1/completions',
        payload={'model': 'm', 'stream': streams},
        profile=PROFILE,
        fingerprint=7,
        arrived_at=0,
    )
    try:
        await dispatcher.run(request, writer)
    finally:
        listening.close()
    return writer


@pytest.mark.parametrize(
    'second',
    [
        encode(400, JSON, ERROR),
        encode(404, JSON, ERROR),
        encode(422, EVENTS, ERROR + DONE),
        encode(201, EVENTS, SECOND + DONE),
        encode(200, JSON, ERROR),
        encode(200, JSON, SECOND + DONE),
        encode(302, JSON, ERROR),
        encode(299, JSON, ERROR),
        encode(500, JSON, ERROR),
        encode(503, JSON, ERROR),
        encode(599, JSON, ERROR),
        b'HTTP/1.1 204 No Content\r\n\r\n',
        b'HTTP/1.1 304 Not Modified\r\n\r\n',
        b'HTTP/1.1 500 Error\r\nContent-Ty',
        b'',
    ],
)
def test_an_engines_error_is_joined_to_a_stream(second):
    last = encode(200, EVENTS, SECOND + DONE)
    got = asyncio.run(dispatch([BEGUN, second, last]))
    assert got.body == FIRST + SECOND + DONE
    assert set(got.heads) == {(200, EVENTS)}


@pytest.mark.parametrize('status', [299, 418, 499])
def test_an_answer_with_an_unlisted_status_is_forwarded(status):
    got = asyncio.run(dispatch([encode(status, JSON, ERROR)]))
    assert (got.heads, got.body) == ([(status, JSON)], ERROR)


@pytest.mark.parametrize(
    ('answer', 'streams'),
    [
        (encode(200, EVENTS, FIRST + DONE), True),
        (encode(200, JSON, ERROR), False),
    ],
)
def test_an_engines_answer_cut_at_any_byte_looks_whole(answer, streams):
    async def work():
        for cut, _ in enumerate(answer):
            with pytest.raises((refusal.Refused, IndexError)):
                await dispatch([answer[:cut]], streams=streams)

    asyncio.run(work())
