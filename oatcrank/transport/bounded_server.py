"""HTTP server whose connections draw on the budget of the process."""

from collections.abc import Awaitable
from http import HTTPStatus
from typing import Any

import msgspec
from tornado import httpserver, httputil, iostream

from oatcrank import logs
from oatcrank.transport import process_budget

NO_ROOM_RETRY_S = 1


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one request; messages between instances are smaller.

    Connections without a limit on idle time are closed when room is needed.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    body_timeout_s: float | None = 15.0
    idle_timeout_s: float = 60.0


DEFAULT_LIMITS = RequestLimits()


class _StreamHolder(process_budget.Holder):
    """Close a connection to give up what waits on it."""

    def __init__(self, stream: iostream.IOStream) -> None:
        self._stream = stream

    def give_up_waiting(self) -> None:
        self.close_now()

    def close_now(self) -> None:
        logs.event('server_connection_given_up')
        self._stream.close()


class BoundedServer(httpserver.HTTPServer):
    """Serve requests whose memory and connections are counted."""

    def initialize(  # type: ignore[override]
        self,
        request_callback: Any,
        *,
        group: process_budget.ConnectionGroup,
        limits: RequestLimits = DEFAULT_LIMITS,
    ) -> None:
        """Pass requests to an application."""
        self._group = group
        self._account_by_stream: dict[object, process_budget.Account] = {}
        super().initialize(
            request_callback,
            max_header_size=limits.max_head_bytes,
            max_body_size=limits.max_body_bytes,
            max_buffer_size=limits.max_body_bytes + limits.max_head_bytes,
            body_timeout=limits.body_timeout_s,
            idle_connection_timeout=limits.idle_timeout_s,
        )

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[Any, ...]
    ) -> None:
        """Open an account for a new connection."""
        self._account_by_stream[stream] = self._group.open(
            _StreamHolder(stream)
        )
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Count what is kept for the next request of a connection."""
        delegate = super().start_request(server_conn, request_conn)
        stream = getattr(server_conn, 'stream', None)
        account = self._account_by_stream.get(stream)
        if account is None:
            return delegate
        account.keep(0)
        account.end_work()
        account.enter(process_budget.State.idle)
        return _CountedRequest(delegate, account, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Close the account of a connection."""
        stream = getattr(server_conn, 'stream', None)
        account = self._account_by_stream.pop(stream, None)
        if account is not None:
            account.close()
        super().on_close(server_conn)


class _CountedRequest(httputil.HTTPMessageDelegate):
    """Count a request while it is read and answered."""

    def __init__(
        self,
        delegate: httputil.HTTPMessageDelegate,
        account: process_budget.Account,
        connection: httputil.HTTPConnection,
    ) -> None:
        self._delegate = delegate
        self._account = account
        self._connection = connection
        self._kept_bytes = 0

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        pairs = list(headers.get_all())
        self._kept_bytes = process_budget.request_bytes(
            sum(len(name) + len(text) for name, text in pairs), len(pairs), 0
        )
        self._account.enter(process_budget.State.reading)
        self._account.keep(self._kept_bytes)
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        # Each piece is kept as an object until the body is whole.
        self._kept_bytes += len(chunk) + process_budget.HEADER_BYTES
        self._account.keep(self._kept_bytes)
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._account.keep(0)
        self._account.enter(process_budget.State.answering)
        if self._account.begin_work(self._kept_bytes):
            self._delegate.finish()
        else:
            self._refuse()

    def on_connection_close(self) -> None:
        self._delegate.on_connection_close()

    def _refuse(self) -> None:
        """Answer that the request was not run, as there is no room."""
        self._delegate.on_connection_close()
        status = HTTPStatus.SERVICE_UNAVAILABLE
        headers = httputil.HTTPHeaders(
            {
                'Content-Length': '0',
                'Connection': 'close',
                'Retry-After': str(NO_ROOM_RETRY_S),
            }
        )
        self._connection.write_headers(
            httputil.ResponseStartLine('HTTP/1.1', status, status.phrase),
            headers,
        )
        self._connection.finish()
