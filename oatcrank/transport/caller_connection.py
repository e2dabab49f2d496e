"""Server connection to a caller; answers requests in order."""

import abc
import asyncio
import collections
import http
import time
from collections.abc import Callable

import httptools

from oatcrank import logs
from oatcrank.transport import limits, message, reply

BODY_TIMEOUT_S = 15.0
# Time for the caller to read the last answer before the connection closes.
LINGER_S = 2.0
CONNECT = b'CONNECT'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Some callers send empty lines after a request.
LINE_ENDS = b'\r\n'


class Handler(abc.ABC):
    """Interface for request handlers."""

    @abc.abstractmethod
    async def handle(self, request: message.Request, out: reply.Reply) -> None:
        """Answer one request; cancelled when the caller disconnects."""


class CallerConnection(asyncio.Protocol):
    """Read requests within limits and pass them to a handler."""

    def __init__(
        self,
        handler: Handler,
        get_limits: Callable[[], limits.Limits],
        open_connections: 'set[CallerConnection]',
    ) -> None:
        """Serve one connection; adds itself to open_connections."""
        self._handler = handler
        self._get_limits = get_limits
        self._open_connections = open_connections
        self._pending: collections.deque[message.Request] = collections.deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._reading = False
        self._start_message()

    @property
    def busy(self) -> bool:
        """Return whether a request is being read, queued or answered."""
        return self._task is not None or self._has_next()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout."""
        self.transport: asyncio.Transport = transport  # type: ignore
        peer = transport.get_extra_info('peername')
        self._peer = str(peer[0]) if peer else ''
        self._open_connections.add(self)
        self._set_timeout(self._get_limits().idle_timeout_s, self._close_idle)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the current request."""
        self._open_connections.discard(self)
        self._cancel_timeout()
        self._pending.clear()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make writers wait until the caller has read more."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers continue."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse data and start the header timeout with a new request."""
        if self._closing:
            return
        if not self._reading and data.strip(LINE_ENDS):
            self._reading = True
            self._began_s = time.monotonic()
            if self._task is None:
                self._set_timeout(
                    self._get_limits().header_timeout_s,
                    self._refuse_timeout,
                )
        self._header_bytes += len(data)
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._ignore_upgrade(data[upgrade.args[0] :])
        except httptools.HttpParserError as error:
            self._refuse(http.HTTPStatus.BAD_REQUEST, str(error))
        if self._reading or not self._headers_done:
            self._check_header_size()

    def _ignore_upgrade(self, rest: bytes) -> None:
        """Read a request again without its offer to upgrade.

        With the offer, the parser takes its body for another protocol.
        """
        if self._parser.get_method() == CONNECT:
            self._refuse(http.HTTPStatus.NOT_IMPLEMENTED, 'no tunnels')
            return
        head = message.encode_head_without_upgrade(
            self._parser.get_method(),
            self._target,
            self._parser.get_http_version(),
            self._headers,
        )
        self._new_parser()
        self._parse(head + rest)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start to read a request."""
        self._reading = True
        self._start_message(parser=False)

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Append one header; drop a field of the trailer."""
        if not self._headers_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the header size; answer 100 Continue if expected."""
        if self._parser.should_upgrade():
            return
        self._headers_done = True
        size = len(self._target) + sum(
            len(name) + len(text) + 4 for name, text in self._headers
        )
        if size > self._get_limits().max_header_bytes:
            self._refuse_too_large()
            return
        self._header_bytes = 0
        if self._task is None:
            self._set_timeout(BODY_TIMEOUT_S, self._refuse_timeout)
        expected = message.find_header(self._headers, b'expect')
        if expected is not None and expected.lower() == b'100-continue':
            self._expects_continue = True
        self._continue_if_expected()

    def on_body(self, body: bytes) -> None:
        """Append to the body and check its size."""
        self._header_bytes = 0
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._get_limits().max_body_bytes:
            self._refuse(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'body too large',
            )

    def on_message_complete(self) -> None:
        """Queue the request."""
        if self._closing or self._parser.should_upgrade():
            return
        self._reading = False
        self._pending.append(
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
        self._answer_next()

    # Answers

    def close_if_idle(self) -> None:
        """Close the connection if it is idle."""
        if not self.busy:
            self.transport.close()

    def _answer_next(self) -> None:
        if self._task is not None or not self._pending:
            return
        self._cancel_timeout()
        request = self._pending.popleft()
        self._task = asyncio.ensure_future(self._answer(request))

    async def _answer(self, request: message.Request) -> None:
        out = reply.Reply(
            self.transport, self._writable, request, self._has_next
        )
        try:
            await self._handler.handle(request, out)
        except asyncio.CancelledError:
            # The caller has disconnected.
            out.abort()
        except Exception as error:
            logs.event('request_handler_failed', error=repr(error))
            out.fail()
        finally:
            self._task = None
        if not out.complete:
            out.fail()
        self._go_on(keep_alive=out.keep_alive)

    def _go_on(self, *, keep_alive: bool) -> None:
        """Answer the next request, wait for one, or close the connection."""
        if not keep_alive or self.transport.is_closing():
            self._close_after_linger()
        elif self._pending:
            self._answer_next()
        elif self._closing:
            # What followed the request could not be read.
            self._close_after_linger()
        else:
            self._wait_for_request()

    def _wait_for_request(self) -> None:
        """Limit the time until a request has arrived."""
        if self._reading:
            self._continue_if_expected()
            self._set_timeout(BODY_TIMEOUT_S, self._refuse_timeout)
            return
        self._set_timeout(self._get_limits().idle_timeout_s, self._close_idle)

    def _continue_if_expected(self) -> None:
        """Let the caller send a body, once earlier answers have ended."""
        if self._expects_continue and self._task is None:
            self._expects_continue = False
            self.transport.write(CONTINUE)

    def _has_next(self) -> bool:
        """Return whether another request follows on this connection."""
        return self._reading or bool(self._pending)

    def _close_after_linger(self) -> None:
        """Close the connection after a delay to read the answer."""
        self._closing = True
        if self.transport.is_closing():
            return
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._set_timeout(LINGER_S, self.transport.close)

    def _refuse(self, status: http.HTTPStatus, reason: str) -> None:
        if self._closing:
            return
        logs.event('message_refused', status=int(status), reason=reason)
        self._closing = True
        if self._task is not None:
            # The connection closes after the answers to what came before.
            return
        if not self.transport.is_closing():
            self.transport.write(reply.encode_closing_reply(status, reason))
        self._close_after_linger()

    def _check_header_size(self) -> None:
        if self._header_bytes > self._get_limits().max_header_bytes:
            self._refuse_too_large()

    def _refuse_too_large(self) -> None:
        self._refuse(
            http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            'headers too large',
        )

    def _refuse_timeout(self) -> None:
        self._refuse(http.HTTPStatus.REQUEST_TIMEOUT, 'request too slow')

    def _close_idle(self) -> None:
        if not self.busy:
            self.transport.close()

    def _set_timeout(
        self, timeout_s: float, action: Callable[[], None]
    ) -> None:
        self._cancel_timeout()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout_s, action)

    def _cancel_timeout(self) -> None:
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
        self._expects_continue = False
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._began_s = time.monotonic()
