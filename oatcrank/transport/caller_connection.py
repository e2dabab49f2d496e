"""Serve the requests of one caller's connection, one after another."""

import abc
import asyncio
import collections
import http
import time
from collections.abc import Callable

import httptools

from oatcrank import logs
from oatcrank.transport import limits, message, reply

SLOW_BODY_S = 15.0
LINGER_S = 2.0


class Handler(abc.ABC):
    """Answer requests."""

    @abc.abstractmethod
    async def handle(self, request: message.Request, out: reply.Reply) -> None:
        """Answer one request; cancelled when the caller goes away."""


class CallerConnection(asyncio.Protocol):
    """Read requests within limits and hand them to a handler."""

    def __init__(
        self,
        handler: Handler,
        bounds: Callable[[], limits.Limits],
        opened: 'set[CallerConnection]',
    ) -> None:
        """Serve one connection and keep itself in the set of open ones."""
        self._handler = handler
        self._bounds = bounds
        self._opened = opened
        self._waiting: collections.deque[message.Request] = collections.deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._last_answer = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._reading = False
        self._start_message()

    @property
    def busy(self) -> bool:
        """Tell whether a request is being read or answered."""
        return self._task is not None or self._reading or bool(self._waiting)

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for the first request."""
        self.transport: asyncio.Transport = transport  # type: ignore
        peer = transport.get_extra_info('peername')
        self._peer = str(peer[0]) if peer else ''
        self._opened.add(self)
        self._watch(self._bounds().idle_s, self._idle)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the work for a caller that is gone."""
        self._opened.discard(self)
        self._stop_timer()
        self._waiting.clear()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Note that the caller reads slower than it is written to."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Note that the caller has caught up."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Read on."""
        if self._last_answer:
            return
        if not self._reading:
            self._reading = True
            self._began_s = time.monotonic()
            if self._task is None:
                self._watch(self._bounds().header_s, self._too_slow)
        if not self._headers_done:
            self._header_bytes += len(data)
        self._feed(data)

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # The upgrade is not taken; what follows is the next request.
            self._new_parser()
            rest = data[upgrade.args[0] :]
            if rest:
                self._feed(rest)
        except httptools.HttpParserError as error:
            self._refuse(http.HTTPStatus.BAD_REQUEST, str(error))
        if not self._headers_done:
            self._check_header_size()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a request."""
        self._start_message(parser=False)

    def on_url(self, url: bytes) -> None:
        """Take a piece of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Take one header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the size of the headers and invite the body."""
        self._headers_done = True
        size = len(self._target) + sum(
            len(name) + len(text) + 4 for name, text in self._headers
        )
        if size > self._bounds().header_bytes:
            self._refuse_too_large()
            return
        if self._task is None:
            self._watch(SLOW_BODY_S, self._too_slow)
        expected = message.find(self._headers, b'expect')
        if expected is not None and expected.lower() == b'100-continue':
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._bounds().body_bytes:
            self._refuse(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'body too large',
            )

    def on_message_complete(self) -> None:
        """Queue the request behind those before it."""
        if self._last_answer:
            return
        self._reading = False
        self._waiting.append(
            message.Request(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                body=b''.join(self._body),
                began_s=self._began_s,
                peer=self._peer,
                keep_alive=self._parser.should_keep_alive(),
            ),
        )
        self._next()

    # Turns

    def finish(self) -> None:
        """Close as soon as nothing is being answered."""
        if not self.busy:
            self.transport.close()

    def _next(self) -> None:
        if self._task is not None or not self._waiting:
            return
        self._stop_timer()
        request = self._waiting.popleft()
        self._task = asyncio.ensure_future(self._answer(request))

    async def _answer(self, request: message.Request) -> None:
        out = reply.Reply(self.transport, self._writable, request)
        try:
            await self._handler.handle(request, out)
        except asyncio.CancelledError:
            # The caller is gone: nobody is left to answer.
            out.abort()
        except Exception as error:
            logs.event('request_fault', error=repr(error))
            out.fail()
        finally:
            self._task = None
        if not out.complete:
            out.fail()
        if not out.keep_alive:
            self._close_gently()
        elif not self.transport.is_closing():
            self._watch(self._bounds().idle_s, self._idle)
            self._next()

    def _close_gently(self) -> None:
        """Let the answer arrive before the connection goes."""
        self._last_answer = True
        if self.transport.is_closing():
            return
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._watch(LINGER_S, self.transport.close)

    def _refuse(self, status: http.HTTPStatus, reason: str) -> None:
        if self._last_answer:
            return
        logs.event('message_refused', status=int(status), reason=reason)
        self._last_answer = True
        if self._task is None and not self.transport.is_closing():
            self.transport.write(reply.closing(status, reason))
        elif self._task is not None:
            self._task.add_done_callback(lambda _: self.transport.close())
        self._close_gently()

    def _check_header_size(self) -> None:
        if self._header_bytes > self._bounds().header_bytes:
            self._refuse_too_large()

    def _refuse_too_large(self) -> None:
        self._refuse(
            http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            'headers too large',
        )

    def _too_slow(self) -> None:
        self._refuse(http.HTTPStatus.REQUEST_TIMEOUT, 'request too slow')

    def _idle(self) -> None:
        if not self.busy:
            self.transport.close()

    def _watch(self, after_s: float, act: Callable[[], None]) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(after_s, act)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _new_parser(self) -> None:
        self._parser = httptools.HttpRequestParser(self)

    def _start_message(self, *, parser: bool = True) -> None:
        if parser:
            self._new_parser()
        self._target = b''
        self._headers: message.Headers = []
        self._headers_done = False
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._began_s = time.monotonic()
