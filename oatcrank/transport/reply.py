"""Write the answer to one request."""

import asyncio
import http
import time
from collections.abc import Callable

from oatcrank.transport import message, process_budget

HEAD = b'HEAD'
LAST_CHUNK = b'0\r\n\r\n'


class Reply:
    """Writer of one answer; an interrupted one never looks complete."""

    def __init__(
        self,
        transport: asyncio.Transport,
        writable: asyncio.Event,
        request: message.Request,
        has_next: Callable[[], bool],
        account: process_budget.Account,
    ) -> None:
        """Create the writer for the answer to a request.

        has_next() returns whether another one follows on the connection.
        account is that of the connection.
        """
        self._account = account
        self._transport = transport
        self._writable = writable
        self._has_body = request.method != HEAD
        self._chunked = False
        self._has_next = has_next
        self._closes_if_last = False
        self.keep_alive = request.keep_alive
        self.started = False
        self.complete = False
        self.bytes_written = 0
        self.first_write_s: float | None = None
        self.longest_pause_s = float(0)
        self._last_write_s = float(0)

    def close_if_last(self) -> None:
        """Close the connection after this answer if no request follows.

        This is not announced for a stream, behind which one may still arrive.
        """
        self._closes_if_last = True

    def start(
        self,
        status: int,
        headers: message.Headers,
        *,
        reason: bytes = b'',
        length: int | None = None,
    ) -> None:
        """Write the head; without a length the body is chunked."""
        self.started = True
        self._chunked = length is None
        if self._closes_if_last and not (self._chunked or self._has_next()):
            self.keep_alive = False
        if not message.has_body(status):
            self._has_body = False
        lines = [b'HTTP/1.1 %d %s' % (status, reason or _reason_phrase(status))]
        lines.extend(b'%s: %s' % pair for pair in headers)
        if not self._has_body:
            self._chunked = False
        elif self._chunked:
            lines.append(b'Transfer-Encoding: chunked')
        else:
            lines.append(b'Content-Length: %d' % (length or 0))
        if not self.keep_alive:
            lines.append(b'Connection: close')
        self._transport.write(b'\r\n'.join((*lines, b'', b'')))

    def write(self, body: bytes) -> None:
        """Write part of the body."""
        if not body or not self._has_body:
            return
        self.bytes_written += len(body)
        self._record_write(time.monotonic())
        if self._chunked:
            self._transport.write(b'%x\r\n%s\r\n' % (len(body), body))
        else:
            self._transport.write(body)

    def _record_write(self, now_s: float) -> None:
        if self.first_write_s is None:
            self.first_write_s = now_s
        else:
            pause_s = now_s - self._last_write_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_write_s = now_s

    def hold(self, answer_bytes: int) -> bool:
        """Set what is kept of the answer; return whether there is room."""
        return self._account.hold_answer(answer_bytes)

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        await self._writable.wait()

    def end(self) -> None:
        """Write the end of the body."""
        if self._chunked and self._has_body:
            self._transport.write(LAST_CHUNK)
        self.complete = True

    def answer(
        self,
        status: int,
        headers: message.Headers,
        body: bytes,
        *,
        reason: bytes = b'',
    ) -> None:
        """Write a complete answer."""
        self.start(status, headers, reason=reason, length=len(body))
        self.write(body)
        self.end()

    def fail(self) -> None:
        """Answer 502, or abort an answer that was already started."""
        if self.started:
            self.abort()
            return
        self.keep_alive = False
        self.answer(http.HTTPStatus.BAD_GATEWAY, [], b'')

    def abort(self) -> None:
        """Abort the connection, so that the answer is seen as incomplete."""
        self.keep_alive = False
        self.complete = True
        self._transport.abort()


def encode_closing_reply(
    status: http.HTTPStatus, text: str, retry_after_s: float | None = None
) -> bytes:
    """Return a complete answer that closes the connection."""
    body = text.encode('ascii', 'replace')
    lines = [
        b'HTTP/1.1 %d %s' % (status, _reason_phrase(status)),
        b'Content-Type: text/plain',
        b'Content-Length: %d' % len(body),
        b'Connection: close',
    ]
    if retry_after_s is not None:
        lines.append(b'Retry-After: %g' % retry_after_s)
    return b'\r\n'.join((*lines, b'', body))


def _reason_phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'
