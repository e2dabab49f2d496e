"""Send a request to a backend server and read its answer as it arrives."""

import asyncio
from collections.abc import Awaitable, Callable

from tornado import http1connection, httputil, iostream, tcpclient

from oatcrank import errors, rpc
from oatcrank.claims import permit
from oatcrank.transport import message

MAX_ANSWER_BYTES = 1_073_741_824
PROBE_INTERVAL_S = 1.0
MAX_INTERIM_ANSWERS = 20

OnHead = Callable[[int, httputil.HTTPHeaders], None]
OnChunk = Callable[[bytes], Awaitable[None] | None]
Probe = Callable[[], Awaitable[bool]]


class UpstreamConnection(httputil.HTTPMessageDelegate):
    """Connection for one request; close() cancels the request."""

    def __init__(self, on_head: OnHead, on_chunk: OnChunk) -> None:
        """Pass the head and each chunk of the answer to callbacks."""
        self._on_head = on_head
        self._on_chunk = on_chunk
        self._stream: iostream.IOStream | None = None
        self._finished = False
        self._received = False
        self._ends_with_connection = False
        self._closed_here = False
        self._interim_count = 0
        self._invalid_status: int | None = None

    async def run(
        self,
        address: str,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
        *,
        permit: permit.Permit,
        probe: Probe,
    ) -> None:
        """Send the request and read the answer to its end.

        If nothing arrives for a while, probe() decides whether to keep
        waiting.  Raises errors.NotStarted if the request was certainly not
        sent, and errors.Interrupted if the answer ended early.
        """
        stream = await self._connect(address)
        if not permit.acquire():
            stream.close()
            raise errors.NotPermitted(address)
        connection = http1connection.HTTP1Connection(
            stream,
            True,
            http1connection.HTTP1ConnectionParameters(
                no_keep_alive=True,
                max_body_size=MAX_ANSWER_BYTES,
            ),
        )
        probe_task = asyncio.create_task(self._probe_while_silent(probe))
        try:
            headers['Host'] = address
            connection.write_headers(start_line, headers, body)
            connection.finish()
            await connection.read_response(self)
        except (iostream.StreamClosedError, httputil.HTTPInputError) as error:
            raise errors.Interrupted(f'{address}: {error}') from error
        finally:
            probe_task.cancel()
            stream.close()
        self._check_end(address, stream)
        if self._ends_with_connection and not await probe():
            raise errors.Interrupted(f'{address}: it ended with its answer')

    def close(self) -> None:
        """Close the connection; run then raises errors.Interrupted."""
        self._closed_here = True
        if self._stream is not None:
            self._stream.close()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Pass on the head of the answer."""
        self._received = True
        self._ends_with_connection = (
            'Content-Length' not in headers
            and 'Transfer-Encoding' not in headers
        )
        if not isinstance(start_line, httputil.ResponseStartLine):
            return
        status = start_line.code
        if message.is_interim(status):
            self._interim_count += 1
            if self._interim_count <= MAX_INTERIM_ANSWERS:
                return
        if message.is_final(status):
            self._on_head(status, headers)
            return
        self._invalid_status = status
        self.close()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a chunk; a slow caller slows down reading."""
        self._received = True
        if self._invalid_status is not None:
            return None
        return self._on_chunk(chunk)

    def finish(self) -> None:
        """Record the regular end of the answer."""
        self._finished = True

    def on_connection_close(self) -> None:
        """Ignore an early end; run detects and reports it."""

    def _check_end(self, address: str, stream: iostream.IOStream) -> None:
        """Raise errors.Interrupted unless an answer has arrived whole."""
        if self._invalid_status is not None:
            raise errors.Interrupted(
                f'{address}: no answer has status {self._invalid_status}'
            )
        if self._is_broken(stream) or not self._finished:
            raise errors.Interrupted(f'{address}: the answer ended early')

    def _is_broken(self, stream: iostream.IOStream) -> bool:
        """Return whether the end of the connection is not the answer's end.

        tornado reports any end of the connection as the regular end of an
        answer that has no length.
        """
        if not self._ends_with_connection:
            return False
        return self._closed_here or stream.error is not None

    async def _connect(self, address: str) -> iostream.IOStream:
        host, _, port = address.rpartition(':')
        try:
            self._stream = await tcpclient.TCPClient().connect(
                host,
                int(port),
                timeout=rpc.CONNECT_TIMEOUT_S,
            )
        except (OSError, OverflowError, ValueError) as error:
            # The last two mean that the address is invalid.
            raise errors.NotStarted(f'{address}: {error}') from error
        self._stream.set_nodelay(True)
        return self._stream

    async def _probe_while_silent(self, probe: Probe) -> None:
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if not self._received and not await probe():
                self.close()
                return
            self._received = False
