"""Test when the answer of a backend server counts as complete."""

import asyncio
import socket
import struct

import pytest
from tornado import httputil

from oatcrank import errors
from oatcrank.claims import permit
from oatcrank.entry import upstream_connection

PART = b'{"route": "op'
HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n'
HEAD_WITH_LENGTH = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    b'Content-Length: %d\r\n\r\n' % len(PART)
)
# struct linger: enabled, 0 seconds.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


async def ask(finish, head: bytes = HEAD, is_alive: bool = True) -> bytes:
    """Return the answer of a server that sends a part and then finishes."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head + PART)
        await writer.drain()
        await asyncio.sleep(0.05)
        finish(writer)

    async def probe() -> bool:
        return is_alive

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    body = bytearray()
    connection = upstream_connection.UpstreamConnection(
        lambda status, headers: None, body.extend
    )
    try:
        await connection.run(
            f'127.0.0.1:{port}',
            httputil.RequestStartLine('GET', '/x', ''),
            httputil.HTTPHeaders(),
            b'',
            permit=permit.UnrestrictedPermit(),
            probe=probe,
        )
    finally:
        server.close()
    return bytes(body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close the connection with a reset instead of a regular end."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


def close(writer: asyncio.StreamWriter) -> None:
    """End the connection regularly."""
    writer.close()


def keep_open(_: asyncio.StreamWriter) -> None:
    """Send nothing more."""


@pytest.mark.parametrize(
    ('head', 'finish'),
    [
        (HEAD, close),
        (HEAD_WITH_LENGTH, close),
        # All that was announced has arrived before the reset.
        (HEAD_WITH_LENGTH, reset),
    ],
)
def test_a_whole_answer(head, finish):
    assert asyncio.run(ask(finish, head)) == PART


@pytest.mark.parametrize(
    ('finish', 'is_alive'),
    [
        (reset, True),
        # The probe finds the silent server dead and closes the connection.
        (keep_open, False),
        # The server ends as after an answer.
        (close, False),
    ],
)
def test_a_broken_answer_without_length_is_not_complete(finish, is_alive):
    with pytest.raises(errors.Interrupted):
        asyncio.run(ask(finish, is_alive=is_alive))


@pytest.mark.parametrize(
    'head',
    [b'HTTP/1.1 200 OK\r\nX-Noise: ', b'HTTP/1.1 200 OK\r\n', HEAD],
    ids=['header', 'headers', 'body'],
)
def test_bytes_without_end_are_given_up(head):
    """A head ends at the limit of tornado, a body at that of the callback."""
    sent_bytes = 0

    async def serve(reader, writer):
        nonlocal sent_bytes
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head)
        noise = b'X-Noise: %s\r\n' % (b'x' * 1000)
        while not writer.transport.is_closing():
            writer.write(noise)
            await writer.drain()
            sent_bytes += len(noise)

    received = bytearray()

    def collect(chunk):
        received.extend(chunk)
        if len(received) > 100_000:
            raise errors.Interrupted('too long')

    async def run():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        connection = upstream_connection.UpstreamConnection(
            lambda status, headers: None, collect
        )
        async with asyncio.timeout(2):
            port = server.sockets[0].getsockname()[1]
            await connection.run(
                f'127.0.0.1:{port}',
                httputil.RequestStartLine('GET', '/x', ''),
                httputil.HTTPHeaders(),
                b'',
                permit=permit.UnrestrictedPermit(),
                probe=lambda: asyncio.sleep(0, True),
            )

    with pytest.raises(errors.Interrupted):
        asyncio.run(run())
    assert sent_bytes < 20_000_000


@pytest.mark.parametrize(
    'address', ['127.0.0.1:65536', '127.0.0.1:x', '127.0.0.1', 'a..b:80']
)
def test_a_request_to_an_address_that_is_none_was_not_sent(address):
    async def probe() -> bool:
        return True

    connection = upstream_connection.UpstreamConnection(
        lambda status, headers: None, lambda chunk: None
    )
    with pytest.raises(errors.NotStarted):
        asyncio.run(
            connection.run(
                address,
                httputil.RequestStartLine('GET', '/x', ''),
                httputil.HTTPHeaders(),
                b'',
                permit=permit.UnrestrictedPermit(),
                probe=probe,
            )
        )
