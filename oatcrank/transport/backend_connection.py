"""Carry requests to a backend server, one at a time on a connection."""

import asyncio
import collections
import enum
import http
import socket
import time
from collections.abc import Callable

import httptools
import msgspec

from oatcrank.transport import errors, message

BUFFERED_BYTES = 262144
SILENT_PEER_MS = 1000
PROBE_EVERY_S = 1
PROBES = 2
BODYLESS = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED),
)


class Ending(enum.Enum):
    """Say how a response ended."""

    complete = 'complete'
    broken = 'broken'


class Piece(msgspec.Struct):
    """Hold a piece of a response's body."""

    body: bytes


Event = message.ResponseHead | Piece | Ending
Belongs = Callable[[message.ResponseHead], bool]


class BackendConnection(asyncio.Protocol):
    """Send one request and read its response as events."""

    def __init__(self) -> None:
        """Wait to be connected."""
        self._events: collections.deque[Event] = collections.deque()
        self._arrived: asyncio.Future[None] | None = None
        self._buffered = 0
        self._paused = False
        self._in_use = False
        self._spoiled = False
        self._lost = False
        self._belongs: Belongs = _any_head
        self.idle_since_s = time.monotonic()
        self.served = 0
        self._new_response()

    @property
    def reusable(self) -> bool:
        """Tell whether another request may be sent."""
        return not (
            self._lost
            or self._in_use
            or self._spoiled
            or self.transport.is_closing()
        )

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let a silent peer be noticed."""
        self.transport: asyncio.Transport = transport  # type: ignore
        sock = transport.get_extra_info('socket')
        if sock is not None:
            _notice_silence(sock)

    def data_received(self, data: bytes) -> None:
        """Read on; what arrives unasked spoils the connection."""
        if not self._in_use:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._break()
        except httptools.HttpParserError:
            self._break()
        if self._buffered > BUFFERED_BYTES and not self._paused:
            self._paused = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """End a response that has no length with its connection."""
        if self._in_use and self._head_done and self._until_close:
            self._finish(Ending.complete)
        self._spoiled = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Break off the response under way."""
        self._lost = True
        if self._in_use:
            self._finish(Ending.broken)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Note what follows a complete response: it belongs to nobody."""
        if not self._in_use:
            self._spoiled = True
        self._head_done = False
        self._headers: message.Headers = []
        self._reason = b''

    def on_status(self, status: bytes) -> None:
        """Take a piece of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Take one header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Hand on the head, but of a provisional response."""
        status = self._parser.get_status_code()
        if status < http.HTTPStatus.OK or not self._in_use:
            return
        self._head_done = True
        head = message.ResponseHead(
            status=status,
            reason=self._reason,
            headers=self._headers,
            keep_alive=self._parser.should_keep_alive(),
        )
        if not self._belongs(head):
            # A late answer to an earlier request; this one's still comes.
            self._spoiled = True
            self._head_done = False
            return
        self._until_close = (
            status not in BODYLESS
            and head.header(b'content-length') is None
            and head.header(b'transfer-encoding') is None
        )
        if not head.keep_alive:
            self._spoiled = True
        self._put(head)

    def on_body(self, body: bytes) -> None:
        """Hand on a piece of the body."""
        if self._in_use and self._head_done:
            self._buffered += len(body)
            self._put(Piece(body))

    def on_message_complete(self) -> None:
        """End the response, but a provisional one."""
        if self._in_use and self._head_done:
            self._finish(Ending.complete)

    # Exchanges

    def send(self, request: bytes, belongs: Belongs) -> None:
        """Write one whole request; skip heads that don't belong to it."""
        self._belongs = belongs
        self._in_use = True
        self.served += 1
        self._new_response()
        self.transport.write(request)

    async def next_event(self) -> Event:
        """Return the next part of the response."""
        while not self._events:
            if self._lost:
                return Ending.broken
            self._arrived = asyncio.get_running_loop().create_future()
            await self._arrived
        event = self._events.popleft()
        if isinstance(event, Piece):
            self._buffered -= len(event.body)
            self._read_on()
        return event

    def release(self) -> None:
        """Note the end of a complete exchange."""
        self.idle_since_s = time.monotonic()
        if self.transport.get_write_buffer_size():
            # Answered before it was read: the rest would be out of place.
            self._spoiled = True
        if self._spoiled or self._in_use:
            self.close()

    def close(self) -> None:
        """Close at once, whatever is under way."""
        self._spoiled = True
        self.transport.abort()

    def _read_on(self) -> None:
        if self._paused and self._buffered <= BUFFERED_BYTES // 2:
            self._paused = False
            if not self._lost:
                self.transport.resume_reading()

    def _new_response(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._reason = b''
        self._head_done = False
        self._until_close = False
        self._events.clear()

    def _break(self) -> None:
        self._spoiled = True
        if self._in_use:
            self._finish(Ending.broken)
        self.transport.abort()

    def _finish(self, ending: Ending) -> None:
        self._in_use = False
        self._put(ending)

    def _put(self, event: Event) -> None:
        self._events.append(event)
        if self._arrived is not None and not self._arrived.done():
            self._arrived.set_result(None)


def _notice_silence(sock: socket.socket) -> None:
    """Have a peer that is gone without a word noticed by the kernel."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_options = (
        (socket.TCP_USER_TIMEOUT, SILENT_PEER_MS),
        (socket.TCP_KEEPIDLE, PROBE_EVERY_S),
        (socket.TCP_KEEPINTVL, PROBE_EVERY_S),
        (socket.TCP_KEEPCNT, PROBES),
    )
    for option, amount in tcp_options:
        sock.setsockopt(socket.IPPROTO_TCP, option, amount)


def _any_head(_: message.ResponseHead) -> bool:
    return True


async def connect(host: str, port: int, within_s: float) -> BackendConnection:
    """Open a connection or raise errors.ConnectFailed."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(within_s):
            _, connection = await loop.create_connection(
                BackendConnection,
                host,
                port,
            )
    except ConnectionRefusedError as error:
        raise errors.Refused(f'{host}:{port}: {error!r}') from error
    except (OSError, TimeoutError) as error:
        raise errors.ConnectFailed(f'{host}:{port}: {error!r}') from error
    return connection
