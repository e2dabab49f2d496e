"""Send a request to one backend server and read its answer."""

import http

import msgspec

from oatcrank.forwarding import (
    attempt_state,
    caller_request,
    dialect,
    event_cutter,
    parts,
    request_metrics,
)
from oatcrank.routing import route, server
from oatcrank.transport import (
    backend_connection,
    connection_pool,
    errors,
    message,
    reply,
)

HELD_BYTES = 262144
SUCCESSES = range(
    http.HTTPStatus.OK,
    http.HTTPStatus.MULTIPLE_CHOICES,
)
SERVER_ERROR = http.HTTPStatus.INTERNAL_SERVER_ERROR


class HeldAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a whole answer before it is handed on."""

    status: int
    reason: bytes
    headers: message.Headers
    body: bytes


class Ended(msgspec.Struct, frozen=True, kw_only=True):
    """Say how an attempt ended; no held answer if it was handed on."""

    progress: attempt_state.Progress
    reason: str = ''
    held: HeldAnswer | None = None
    not_held: bool = False


class _Cut(Exception):  # noqa: N818
    """Report that an answer broke off or isn't one."""


class Attempt:
    """Exchange one request and answer with one server."""

    def __init__(
        self,
        shared: parts.Parts,
        request: caller_request.CallerRequest,
        on_route: route.Route,
        chosen: server.Server,
        out: reply.Reply,
        cutter: event_cutter.EventCutter,
    ) -> None:
        """Send to the chosen server; events go through the cutter."""
        self._shared = shared
        self._request = request
        self._route = on_route
        self._server = chosen
        self._out = out
        self._cutter = cutter
        self._idle_s: float | None = None
        self._began_s = float(0)
        self._begun = False
        self.progress = attempt_state.Progress.unsent

    async def run(self, ends_s: float) -> Ended:
        """Return how it ended; cancelled, it closes the connection."""
        self._server.in_flight += 1
        self._began_s = self._shared.now()
        try:
            return await self._connected(ends_s)
        finally:
            self._server.in_flight -= 1
            if not self._begun:
                self._note_wait()

    async def _connected(self, ends_s: float) -> Ended:
        try:
            connection = await self._server.pool.take()
        except errors.ConnectFailed as error:
            self._server.suspend(self._shared.now())
            return self._end(str(error))
        try:
            return await self._exchange(connection, ends_s)
        except _Cut as cut:
            self._note_outcome(failed=True)
            return self._end(str(cut))
        finally:
            self._give_back(self._server.pool, connection)

    async def _exchange(
        self,
        connection: backend_connection.BackendConnection,
        ends_s: float,
    ) -> Ended:
        if not connection.reusable:
            return self._end('connection lost before the send')
        sending = dialect.Sending(
            listed=self._server.listed,
            left_s=ends_s - self._shared.now(),
            urgency=self._route.urgency,
            last_event_id=self._cutter.last_id,
        )
        encoded = self._shared.dialect.encode(self._request, sending)
        self.progress = attempt_state.Progress.written
        connection.send(encoded, self._belongs)
        head = await connection.next_event()
        if not isinstance(head, message.ResponseHead):
            raise _Cut('no answer')
        return await self._answered(connection, head)

    async def _answered(
        self,
        connection: backend_connection.BackendConnection,
        head: message.ResponseHead,
    ) -> Ended:
        answer = self._shared.dialect.read(head)
        self._idle_s = answer.idle_s
        if answer.load is not None:
            self._server.note_load(
                answer.load.running,
                answer.load.waiting,
                self._shared.now(),
            )
        if answer.not_run or answer.elsewhere:
            return await self._declined(connection, head, answer)
        if answer.request_id is None or not answer.signed or answer.encoded:
            raise _Cut('not an answer of the server')
        if self._route.streaming and head.status in SUCCESSES:
            return await self._stream(connection, head)
        return await self._whole(connection, head)

    async def _declined(
        self,
        connection: backend_connection.BackendConnection,
        head: message.ResponseHead,
        answer: dialect.Answer,
    ) -> Ended:
        self.progress = attempt_state.Progress.declined
        ending = await connection.next_event()
        while isinstance(ending, backend_connection.Piece):
            ending = await connection.next_event()
        return self._end(
            f'declined with {head.status}',
            not_held=answer.elsewhere,
        )

    async def _stream(
        self,
        connection: backend_connection.BackendConnection,
        head: message.ResponseHead,
    ) -> Ended:
        self._cutter.restart()
        event = await connection.next_event()
        while isinstance(event, backend_connection.Piece):
            whole = self._cutter.feed(event.body)
            if whole:
                self._note_begin()
                self._begin(head, None)
                self._out.write(whole)
                await self._out.drain()
            event = await connection.next_event()
        if event is not backend_connection.Ending.complete:
            raise _Cut('stream broke off')
        self._begin(head, None)
        self._out.write(self._cutter.rest())
        return self._finish()

    async def _whole(
        self,
        connection: backend_connection.BackendConnection,
        head: message.ResponseHead,
    ) -> Ended:
        held = bytearray()
        event = await connection.next_event()
        while isinstance(event, backend_connection.Piece):
            held += event.body
            if len(held) > HELD_BYTES:
                return await self._long(connection, head, bytes(held))
            event = await connection.next_event()
        if event is not backend_connection.Ending.complete:
            raise _Cut('answer broke off')
        self.progress = attempt_state.Progress.answered
        self._note_outcome(failed=head.status >= SERVER_ERROR)
        return Ended(
            progress=self.progress,
            held=HeldAnswer(
                status=head.status,
                reason=head.reason,
                headers=message.end_to_end(head.headers),
                body=bytes(held),
            ),
        )

    async def _long(
        self,
        connection: backend_connection.BackendConnection,
        head: message.ResponseHead,
        begun: bytes,
    ) -> Ended:
        """Hand a long answer on as it arrives."""
        length = head.header(b'content-length')
        self._begin(head, None if length is None else int(length))
        self._out.write(begun)
        event = await connection.next_event()
        while isinstance(event, backend_connection.Piece):
            self._out.write(event.body)
            await self._out.drain()
            event = await connection.next_event()
        if event is not backend_connection.Ending.complete:
            raise _Cut('answer broke off')
        return self._finish()

    def _note_begin(self) -> None:
        if not self._begun:
            self._begun = True
            self._note_wait()

    def _note_wait(self) -> None:
        """Let later requests know how long this one's answer took to begin."""
        if self.progress is attempt_state.Progress.declined:
            return
        now_s = self._shared.now()
        if self._route.streaming:
            self._server.note_wait(now_s - self._began_s, now_s)

    def _begin(self, head: message.ResponseHead, length: int | None) -> None:
        if self._out.started:
            return
        request_metrics.FIRST_BYTE_SECONDS.labels(
            self._server.listed.service,
        ).observe(self._shared.now() - self._request.began_s)
        self._out.start(
            head.status,
            message.end_to_end(head.headers),
            reason=head.reason,
            length=length,
        )

    def _finish(self) -> Ended:
        self._out.end()
        self.progress = attempt_state.Progress.answered
        self._note_outcome(failed=False)
        return Ended(progress=self.progress)

    def _end(self, reason: str, *, not_held: bool = False) -> Ended:
        return Ended(
            progress=self.progress,
            reason=reason,
            not_held=not_held,
        )

    def _belongs(self, head: message.ResponseHead) -> bool:
        told = self._shared.dialect.read(head).request_id
        return told is None or told == self._request.request_id

    def _note_outcome(self, *, failed: bool) -> None:
        self._server.note_outcome(self._shared.now(), failed=failed)

    def _give_back(
        self,
        pool: connection_pool.ConnectionPool,
        connection: backend_connection.BackendConnection,
    ) -> None:
        pool.give_back(connection, idle_s=self._idle_s)
