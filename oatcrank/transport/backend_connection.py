"""Client connection to a backend server, one request at a time."""

import asyncio
import collections
import enum
import time
from collections.abc import Callable

import httptools
import msgspec

from oatcrank import logs
from oatcrank.transport import errors, message, tcp_timeouts

MAX_BUFFERED_BYTES = 262144
# Limit of heads, interim (1xx) responses and trailers: of all that brings
# neither the awaited head nor a part of a body.
MAX_HEAD_BYTES = 65536
MAX_HEADERS = 1000
# What arrives is parsed in pieces, so that the limits hold after each of them.
PIECE_BYTES = 16384
HEAD_REQUEST = b'HEAD '


class Ending(enum.Enum):
    """How a response ended."""

    complete = 'complete'
    broken = 'broken'


class BodyChunk(msgspec.Struct):
    """Chunk of a response body."""

    body: bytes


class _UnreadBody(msgspec.Struct):
    """Pieces of a body that were not read yet."""

    pieces: bytearray


Event = message.ResponseHead | BodyChunk | Ending
HeadFilter = Callable[[message.ResponseHead], bool]


class BackendConnection(asyncio.Protocol):
    """Send requests and read their responses as events."""

    def __init__(self) -> None:
        """Create an unconnected protocol."""
        self._events: collections.deque[
            message.ResponseHead | _UnreadBody | Ending
        ] = collections.deque()
        self._arrived: asyncio.Future[None] | None = None
        self._buffered = 0
        self._paused = False
        self._in_use = False
        self._unusable = False
        self._lost = False
        self._accepts_head: HeadFilter = _accept_any_head
        self._asks_for_head = False
        self.idle_since_s = time.monotonic()
        self.request_count = 0
        self._reset_response()

    @property
    def reusable(self) -> bool:
        """Return whether another request may be sent."""
        return not (
            self._lost
            or self._in_use
            or self._unusable
            or self.transport.is_closing()
        )

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the TCP timeouts."""
        self.transport: asyncio.Transport = transport  # type: ignore
        sock = transport.get_extra_info('socket')
        if sock is not None:
            tcp_timeouts.set_options(sock)

    def data_received(self, data: bytes) -> None:
        """Parse data; close the connection if no request is in progress."""
        if not self._in_use:
            self.close()
            return
        for begin in range(0, len(data), PIECE_BYTES):
            self._parse(data[begin : begin + PIECE_BYTES])
            if self.transport.is_closing():
                return
        if self._buffered > MAX_BUFFERED_BYTES and not self._paused:
            self._paused = True
            self.transport.pause_reading()

    def _parse(self, piece: bytes) -> None:
        self._head_bytes += len(piece)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            self._abort_response()
        except httptools.HttpParserError:
            self._abort_response()
        if (
            self._head_bytes > MAX_HEAD_BYTES
            or len(self._headers) > MAX_HEADERS
        ):
            self._abort_response()

    def eof_received(self) -> bool:
        """End a response whose length is given by the connection's end."""
        if self._in_use and self._head_done and self._until_close:
            self._finish(Ending.complete)
        self._unusable = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the current response as broken."""
        self._lost = True
        if self._in_use:
            self._finish(Ending.broken)
        self._wake()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a response; the connection can't be reused if unrequested."""
        if not self._in_use:
            self._unusable = True
        self._head_done = False
        self._headers: message.Headers = []
        self._reason = b''

    def on_status(self, status: bytes) -> None:
        """Append to the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Append one header; drop a field of the trailer."""
        if not self._head_done and len(self._headers) <= MAX_HEADERS:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Report the head, except of an interim (1xx) response."""
        status = self._parser.get_status_code()
        if not self._in_use:
            return
        if message.is_interim(status):
            return
        if not message.is_final(status):
            logs.event('answer_status_invalid', status=status)
            self._abort_response()
            return
        self._head_done = True
        head = message.ResponseHead(
            status=status,
            reason=self._reason,
            headers=self._headers,
            keep_alive=self._parser.should_keep_alive(),
            framing=self._framing(status),
        )
        if not self._accepts_head(head):
            # This is a late answer to an earlier request; the answer to the
            # current one follows.
            self._unusable = True
            self._head_done = False
            return
        if _is_encoded(self._headers):
            self._abort_response()
            return
        self._head_bytes = 0
        self._until_close = head.framing is message.Framing.connection_end
        if not head.keep_alive:
            self._unusable = True
        self._put(head)
        if self._asks_for_head:
            # The parser expects the body that the head describes.
            self._finish(Ending.complete)

    def on_body(self, body: bytes) -> None:
        """Report a chunk of the body."""
        self._head_bytes = 0
        if not self._in_use:
            self._unusable = True
        elif self._head_done:
            self._buffered += len(body)
            self._put_body(body)

    def on_message_complete(self) -> None:
        """End the response, except an interim (1xx) one."""
        if self._in_use and self._head_done:
            self._finish(Ending.complete)

    # Exchanges

    def send(self, request: bytes, accepts_head: HeadFilter) -> None:
        """Write a request; skip response heads that accepts_head rejects."""
        self._accepts_head = accepts_head
        self._asks_for_head = request.startswith(HEAD_REQUEST)
        self._in_use = True
        self.request_count += 1
        self._reset_response()
        self.transport.write(request)

    async def next_event(self) -> Event:
        """Return the next event of the response, or that it is broken.

        Without a response, wait until the connection is lost.
        """
        while not self._events:
            if self._lost:
                return Ending.broken
            self._arrived = asyncio.get_running_loop().create_future()
            await self._arrived
        event = self._events.popleft()
        if not isinstance(event, _UnreadBody):
            return event
        self._buffered -= len(event.pieces)
        self._resume_reading()
        return BodyChunk(bytes(event.pieces))

    def end_exchange(self) -> None:
        """End an exchange; close the connection if it can't be reused."""
        self.idle_since_s = time.monotonic()
        if self.transport.get_write_buffer_size():
            # The server answered before it read the whole request; it would
            # take the rest for the next request.
            self._unusable = True
        if self._unusable or self._in_use:
            self.close()

    def close(self) -> None:
        """Close at once, also during a response."""
        self._unusable = True
        self.transport.abort()

    def _resume_reading(self) -> None:
        if self._paused and self._buffered <= MAX_BUFFERED_BYTES // 2:
            self._paused = False
            if not self._lost:
                self.transport.resume_reading()

    def _framing(self, status: int) -> message.Framing:
        if self._asks_for_head:
            return message.Framing.length
        return _framing(status, self._headers)

    def _reset_response(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._reason = b''
        self._head_done = False
        self._head_bytes = 0
        self._until_close = False
        self._events.clear()

    def _abort_response(self) -> None:
        self._unusable = True
        if self._in_use:
            self._finish(Ending.broken)
        self.transport.abort()

    def _finish(self, ending: Ending) -> None:
        self._in_use = False
        self._put(ending)

    def _put_body(self, body: bytes) -> None:
        """Add to the last chunk that was not read, or begin one.

        A body in very small chunks would be kept as very many objects.
        """
        if self._events and isinstance(self._events[-1], _UnreadBody):
            self._events[-1].pieces += body
        else:
            self._put(_UnreadBody(bytearray(body)))

    def _put(self, event: message.ResponseHead | _UnreadBody | Ending) -> None:
        self._events.append(event)
        self._wake()

    def _wake(self) -> None:
        if self._arrived is not None and not self._arrived.done():
            self._arrived.set_result(None)


def ending_of(event: Event) -> Ending:
    """Return how a response ended; a second head ends it as broken."""
    return event if isinstance(event, Ending) else Ending.broken


def _is_encoded(headers: message.Headers) -> bool:
    """Return whether the body has a transfer coding besides chunks."""
    return any(
        name.lower() == b'transfer-encoding'
        and text.strip().lower() != b'chunked'
        for name, text in headers
    )


def _framing(status: int, headers: message.Headers) -> message.Framing:
    if message.find_header(headers, b'transfer-encoding') is not None:
        return message.Framing.chunks
    if (
        not message.has_body(status)
        or message.find_header(headers, b'content-length') is not None
    ):
        return message.Framing.length
    return message.Framing.connection_end


def _accept_any_head(_: message.ResponseHead) -> bool:
    return True


async def connect(host: str, port: int, timeout_s: float) -> BackendConnection:
    """Open a connection or raise errors.ConnectFailed."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                BackendConnection,
                host,
                port,
            )
    except ConnectionRefusedError as error:
        raise errors.ConnectionRefused(f'{host}:{port}: {error!r}') from error
    except (OSError, OverflowError, ValueError) as error:
        # The last two mean that the address is invalid.
        raise errors.ConnectFailed(f'{host}:{port}: {error!r}') from error
    return connection
