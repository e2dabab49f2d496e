"""Crowds of clients that do not behave, each against one port."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Callable

import msgspec

HEAD = b'POST /draft/x HTTP/1.1\r\nHost: words.example\r\nX-Request-Id: %d\r\n'
SHORT_LINE = b'a:\r\n'
ODD_LINE = b'!#$%%&*+-.^_`|~%d:\r\n'
END = b'\r\n'
BODY_BYTES = 4_000_000
PIECE_BYTES = 65_536
CONNECT_PAUSE_S = 0.002
numbers = itertools.count(1)

Pieces = AsyncIterator[bytes]


class Crowd(msgspec.Struct, frozen=True):
    """Clients that send the same, each on a connection that stays open.

    reconnects: a client whose connection is closed opens the next one.
    port: attribute of the process that holds the port.
    """

    clients: int
    pieces: Callable[[], Pieces]
    reconnects: bool = False
    port: str = 'front'


async def heads_with_many_lines() -> Pieces:
    """Send requests of legal size one behind the other, without a pause."""
    for _ in range(200):
        head = HEAD % next(numbers)
        yield head + SHORT_LINE * 1500 + b'Content-Length: 0\r\n\r\n'


async def small_requests() -> Pieces:
    """Send many requests; no answer is read."""
    for _ in range(200):
        yield b''.join(
            HEAD % next(numbers) + b'Content-Length: 0\r\n\r\n'
            for _ in range(200)
        )


async def unended_head() -> Pieces:
    """Send a head of legal size without its end."""
    yield HEAD % next(numbers) + SHORT_LINE * 3900


async def unended_odd_head() -> Pieces:
    """Send a head of legal size with odd names, without its end."""
    lines = b''.join(ODD_LINE % number for number in range(700))
    yield HEAD % next(numbers) + lines


async def endless_head() -> Pieces:
    """Send header lines without end."""
    yield HEAD % next(numbers)
    for _ in range(200):
        yield SHORT_LINE * 4096


async def empty_lines() -> Pieces:
    """Send empty lines without end before a request."""
    for _ in range(200):
        yield END * 8192


async def small_chunks() -> Pieces:
    """Send a body in chunks of two bytes, just short of its end."""
    yield HEAD % next(numbers) + b'Transfer-Encoding: chunked\r\n\r\n'
    for _ in range(200):
        yield b'2\r\nab\r\n' * 4096


async def large_chunks() -> Pieces:
    """Send a body in large chunks, just short of its end."""
    yield HEAD % next(numbers) + b'Transfer-Encoding: chunked\r\n\r\n'
    for _ in range(BODY_BYTES // PIECE_BYTES):
        yield b'%x\r\n%s\r\n' % (PIECE_BYTES, b'a' * PIECE_BYTES)


async def body_with_length() -> Pieces:
    """Send a body with its length, just short of its end."""
    yield HEAD % next(numbers) + b'Content-Length: %d\r\n\r\n' % BODY_BYTES
    for _ in range(BODY_BYTES // PIECE_BYTES):
        yield b'a' * PIECE_BYTES


async def chunk_extensions() -> Pieces:
    """Send a chunk whose extension has no end."""
    yield HEAD % next(numbers) + b'Transfer-Encoding: chunked\r\n\r\n2;'
    for _ in range(400):
        yield b'a=b;' * 4096


async def trailers() -> Pieces:
    """Send trailer fields without end."""
    yield HEAD % next(numbers) + b'Transfer-Encoding: chunked\r\n\r\n0\r\n'
    for _ in range(200):
        yield SHORT_LINE * 4096


async def whole_bodies() -> Pieces:
    """Send a whole large body, and read no answer."""
    for _ in range(4):
        yield HEAD % next(numbers) + b'Content-Length: %d\r\n\r\n' % BODY_BYTES
        yield b'a' * BODY_BYTES


async def nothing() -> Pieces:
    """Send nothing."""
    yield b''


async def mixture() -> Pieces:
    """Send one of the others, in turn."""
    kinds = (
        heads_with_many_lines,
        small_requests,
        unended_head,
        small_chunks,
        large_chunks,
        nothing,
    )
    async for piece in kinds[next(numbers) % len(kinds)]():
        yield piece


class RunningCrowd:
    """Clients that are connected to a port."""

    def __init__(self, crowd: Crowd, port: int) -> None:
        self._crowd = crowd
        self._port = port
        self._writers: list[asyncio.StreamWriter] = []

    async def send(self, seconds: float) -> None:
        """Send for a time, or until all clients have sent everything."""
        clients = [
            asyncio.ensure_future(self._send(number))
            for number in range(self._crowd.clients)
        ]
        _, unfinished = await asyncio.wait(clients, timeout=seconds)
        for client in unfinished:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)

    def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _send(self, number: int) -> None:
        await asyncio.sleep(number * CONNECT_PAUSE_S)
        await self._send_once()
        while self._crowd.reconnects:
            await asyncio.sleep(CONNECT_PAUSE_S)
            await self._send_once()

    async def _send_once(self) -> None:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self._port, limit=1
            )
            self._writers.append(writer)
            if self._crowd.reconnects:
                await self._send_until_closed(reader, writer)
                return
            async for piece in self._crowd.pieces():
                writer.write(piece)
                await writer.drain()

    async def _send_until_closed(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            async for piece in self._crowd.pieces():
                writer.write(piece)
                await writer.drain()
            await reader.read(1)
        # Those that are open at the end stay open.
        self._writers.remove(writer)
        writer.transport.abort()
