"""Server connection to a caller; answers requests in order."""

import abc
import asyncio
import collections
import functools
import http
from collections.abc import Callable

import msgspec

from oatcrank import logs
from oatcrank.transport import (
    limits,
    message,
    message_reader,
    process_budget,
    reply,
)

BODY_TIMEOUT_S = 15.0
# Time for the caller to read the last answer before the connection closes.
LINGER_S = 2.0
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# A request that is answered is kept as it was read, decoded, and as it is sent.
KEPT_COPIES = 3
NO_ROOM_RETRY_S = 1.0


class Handler(abc.ABC):
    """Interface for request handlers."""

    @abc.abstractmethod
    async def handle(self, request: message.Request, out: reply.Reply) -> None:
        """Answer one request; cancelled when the caller disconnects."""


class _WaitingRequest(msgspec.Struct):
    """Request that waits for the answer to the one before it."""

    request: message.Request
    kept_bytes: int


class CallerConnection(
    asyncio.Protocol, message_reader.Listener, process_budget.Holder
):
    """Read requests within limits and pass them to a handler.

    Reading stops while a request waits for the answer to another one.
    """

    def __init__(
        self,
        handler: Handler,
        get_limits: Callable[[], limits.Limits],
        open_connections: 'set[CallerConnection]',
        budget: process_budget.ProcessBudget,
    ) -> None:
        """Serve one connection; adds itself to open_connections."""
        self._budget = budget
        self._handler = handler
        self._get_limits = get_limits
        self._open_connections = open_connections
        self._pending: collections.deque[_WaitingRequest] = collections.deque()
        # What has arrived while reading was about to stop.
        self._unparsed = b''
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._reader = message_reader.MessageReader(self, get_limits)

    @property
    def busy(self) -> bool:
        """Return whether a request is being read, queued or answered."""
        return self._task is not None or self._has_next()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout."""
        self.transport: asyncio.Transport = transport  # type: ignore
        peer = transport.get_extra_info('peername')
        self._reader.peer = str(peer[0]) if peer else ''
        self._open_connections.add(self)
        self._account = self._budget.callers.open(self)
        self._set_timeout(self._get_limits().idle_timeout_s, self._close_idle)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the current request."""
        self._open_connections.discard(self)
        self._cancel_timeout()
        self._drop_input()
        self._writable.set()
        self._account.close()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make writers wait until the caller has read more."""
        self._writable.clear()
        self._update_account()

    def resume_writing(self) -> None:
        """Let writers continue."""
        self._writable.set()
        self._update_account()

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, unless the connection is about to close."""
        if self._closing:
            return
        self._unparsed += data
        self._read_on()

    def _read_on(self) -> None:
        """Parse what has arrived until a request has to wait."""
        data = self._unparsed
        begin = 0
        while begin < len(data) and not (self._closing or self._pending):
            end = begin + self._reader.piece_bytes
            self._reader.feed(data[begin:end])
            begin = end
            self._unparsed = data[begin:] if self._pending else b''
            self._update_account()
        self._hold_back()

    def _hold_back(self) -> None:
        """Stop reading while a request waits, and go on afterwards."""
        if self._pending:
            self.transport.pause_reading()
        elif not self.transport.is_closing():
            self.transport.resume_reading()

    # Requests that arrive

    def on_request_begin(self) -> None:
        """Limit the time until the head has arrived."""
        if self._task is None:
            self._set_timeout(
                self._get_limits().header_timeout_s, self._refuse_timeout
            )

    def on_head(self) -> None:
        """Limit the time until the body has arrived, and let it be sent."""
        if self._task is None:
            self._set_timeout(BODY_TIMEOUT_S, self._refuse_timeout)
        self._continue_if_expected()

    def on_request(self, request: message.Request, kept_bytes: int) -> None:
        """Queue the request."""
        self._pending.append(_WaitingRequest(request, kept_bytes))
        self._answer_next()

    def on_invalid(self, status: http.HTTPStatus, reason: str) -> None:
        """Refuse what arrives."""
        self._refuse(status, reason)

    # Budget of the process

    def give_up_waiting(self) -> None:
        """Refuse what is being read, or close if the answer is not read."""
        if self._closing or not self._writable.is_set():
            logs.event('unread_answer_dropped', peer=self._reader.peer)
            self.transport.abort()
            return
        self._pending.clear()
        self._refuse(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            'no room for the request',
            retry_after_s=NO_ROOM_RETRY_S,
        )

    def close_now(self) -> None:
        """Close the connection at once."""
        logs.event('connection_given_up', peer=self._reader.peer)
        self._closing = True
        self.transport.abort()

    def _update_account(self) -> None:
        """Count what waits; this may refuse the request that is read."""
        waiting_bytes = len(self._unparsed) + self._reader.kept_bytes
        waiting_bytes += sum(waiting.kept_bytes for waiting in self._pending)
        if not self._writable.is_set():
            waiting_bytes += self.transport.get_write_buffer_size()
        self._account.enter(self._state())
        self._account.keep(waiting_bytes)

    def _state(self) -> process_budget.State:
        if self._task is not None:
            return process_budget.State.answering
        if self._closing:
            return process_budget.State.closing
        if self._has_next():
            return process_budget.State.reading
        return process_budget.State.idle

    def _drop_input(self) -> None:
        self._pending.clear()
        self._unparsed = b''
        self._reader.stop()

    # Answers

    def close_if_idle(self) -> None:
        """Close the connection if it is idle."""
        if not self.busy:
            self._close()

    def _answer_next(self) -> None:
        if self._task is not None or not self._pending:
            return
        self._cancel_timeout()
        waiting = self._pending.popleft()
        was_closing = self._closing
        self._update_account()
        if self._closing and not was_closing:
            # There is no room, and the request was refused.
            return
        if self._account.begin_work(waiting.kept_bytes * KEPT_COPIES):
            self._task = asyncio.ensure_future(self._answer(waiting.request))
        else:
            self.give_up_waiting()

    async def _answer(self, request: message.Request) -> None:
        out = reply.Reply(
            self.transport,
            self._writable,
            request,
            self._has_next,
            self._account,
        )
        try:
            await self._handler.handle(request, out)
        except asyncio.CancelledError:
            # The caller has disconnected.
            out.abort()
        except Exception as error:
            logs.event('request_handler_failed', error=repr(error))
            out.fail()
        if not out.complete:
            out.fail()
        try:
            await self._wait_until_read()
        finally:
            self._task = None
            self._account.end_work()
        self._go_on(keep_alive=out.keep_alive)

    async def _wait_until_read(self) -> None:
        """Wait until the caller has read most of the answer.

        One that reads slowly may take its time, one that stops may not.
        """
        while not self._writable.is_set():
            former_bytes = self.transport.get_write_buffer_size()
            try:
                async with asyncio.timeout(self._get_limits().idle_timeout_s):
                    await self._writable.wait()
            except TimeoutError:
                self._abort_if_unread(former_bytes)

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
        self._read_on()
        if not self.transport.is_closing():
            self._update_account()

    def _wait_for_request(self) -> None:
        """Limit the time until a request has arrived."""
        if self._reader.reading:
            self._continue_if_expected()
            self._set_timeout(BODY_TIMEOUT_S, self._refuse_timeout)
            return
        self._set_timeout(self._get_limits().idle_timeout_s, self._close_idle)

    def _continue_if_expected(self) -> None:
        """Let the caller send a body, once earlier answers have ended."""
        if self._task is None and self._reader.take_expectation():
            self.transport.write(CONTINUE)

    def _has_next(self) -> bool:
        """Return whether another request follows on this connection."""
        return self._reader.reading or bool(self._pending or self._unparsed)

    def _close_after_linger(self) -> None:
        """Close the connection after a delay to read the answer."""
        self._closing = True
        self._drop_input()
        if self.transport.is_closing():
            return
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._set_timeout(LINGER_S, self._close)

    def _close(self) -> None:
        """Close the connection once the caller has read what was written."""
        self.transport.close()
        self._wait_for_close()

    def _wait_for_close(self) -> None:
        left_bytes = self.transport.get_write_buffer_size()
        if left_bytes:
            self._set_timeout(
                self._get_limits().idle_timeout_s,
                functools.partial(self._close_if_unread, left_bytes),
            )

    def _close_if_unread(self, former_bytes: int) -> None:
        self._abort_if_unread(former_bytes)
        self._wait_for_close()

    def _abort_if_unread(self, former_bytes: int) -> None:
        """Abort the connection if the caller has read nothing since."""
        if self.transport.get_write_buffer_size() >= former_bytes:
            logs.event('unread_answer_dropped', peer=self._reader.peer)
            self.transport.abort()

    def _refuse(
        self,
        status: http.HTTPStatus,
        reason: str,
        *,
        retry_after_s: float | None = None,
    ) -> None:
        if self._closing:
            return
        logs.event('message_refused', status=int(status), reason=reason)
        self._closing = True
        self._unparsed = b''
        self._reader.stop()
        if self._task is not None:
            # The connection closes after the answers to what came before.
            return
        if not self.transport.is_closing():
            self.transport.write(
                reply.encode_closing_reply(status, reason, retry_after_s)
            )
        self._close_after_linger()

    def _refuse_timeout(self) -> None:
        self._refuse(http.HTTPStatus.REQUEST_TIMEOUT, 'request too slow')

    def _close_idle(self) -> None:
        if not self.busy:
            self._close()

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
