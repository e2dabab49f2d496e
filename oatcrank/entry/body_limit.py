"""Refuse bodies that are too large without buffering them."""

from collections.abc import Awaitable
from http import HTTPStatus

import msgspec
from tornado import httputil

from oatcrank import refusal, rpc

# Bodies up to this multiple of the limit are read to their end and refused
# with an answer; larger ones are cut off.
READ_LIMIT_FACTOR = 16


class BodyLimit(httputil.HTTPServerConnectionDelegate):
    """Wrap an application and refuse requests with large bodies."""

    def __init__(
        self,
        application: httputil.HTTPServerConnectionDelegate,
        *,
        limit_bytes: int,
    ) -> None:
        """Pass on bodies of at most limit_bytes."""
        self._application = application
        self._limit_bytes = limit_bytes

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Return a delegate that limits one request."""
        return _LimitedRequest(
            self._application.start_request(server_conn, request_conn),
            request_conn,
            self._limit_bytes,
        )

    def on_close(self, server_conn: object) -> None:
        """Notify the application of a closed connection."""
        self._application.on_close(server_conn)


class _LimitedRequest(httputil.HTTPMessageDelegate):
    def __init__(
        self,
        delegate: httputil.HTTPMessageDelegate,
        connection: httputil.HTTPConnection,
        limit_bytes: int,
    ) -> None:
        self._delegate = delegate
        self._connection = connection
        self._left_bytes = limit_bytes

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Pass on the head."""
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on chunks within the limit and drop the rest."""
        was_within = self._left_bytes >= 0
        self._left_bytes -= len(chunk)
        if self._left_bytes >= 0:
            return self._delegate.data_received(chunk)
        if was_within:
            # Makes the application discard the body buffered so far.
            self._delegate.on_connection_close()
        return None

    def finish(self) -> None:
        """Let the application answer, or refuse the request."""
        if self._left_bytes >= 0:
            self._delegate.finish()
            return
        body = msgspec.json.encode(_too_large())
        headers = httputil.HTTPHeaders(
            {'Content-Type': rpc.JSON_TYPE, 'Content-Length': str(len(body))}
        )
        status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        self._connection.write_headers(
            httputil.ResponseStartLine('HTTP/1.1', status, status.phrase),
            headers,
            body,
        )
        self._connection.finish()

    def on_connection_close(self) -> None:
        """Notify the application that the caller has disconnected."""
        if self._left_bytes >= 0:
            self._delegate.on_connection_close()


def _too_large() -> refusal.Refusal:
    return refusal.Refusal(
        code=refusal.Code.too_large,
        message='the body is larger than the limit of this instance',
        run_state=refusal.RunState.did_not_run,
        status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )
