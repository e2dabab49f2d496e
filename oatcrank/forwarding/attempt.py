"""Send a request to one backend server and read its answer."""

import http

from oatcrank.forwarding import (
    answer_end,
    answer_state,
    attempt_result,
    attempt_state,
    caller_request,
    event_splitter,
    process_watch,
    request_dependencies,
    request_metrics,
    resumable_stream,
    skipped_body,
    stream_head,
    wire_protocol,
)
from oatcrank.routing import route, server
from oatcrank.transport import (
    backend_connection,
    connection_pool,
    errors,
    message,
    reply,
)

# Longer answers are forwarded as they arrive.
MAX_BUFFERED_ANSWER_BYTES = 262144
SERVER_ERROR = http.HTTPStatus.INTERNAL_SERVER_ERROR
# To callers these mean that the request has not run and will not run.
NOT_RUN_STATUSES = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class _InvalidAnswer(Exception):  # noqa: N818
    """Raised for an answer that is missing, incomplete or not the server's."""


class _NoRoom(Exception):  # noqa: N818
    """Raised if this instance has no room for the answer."""


class Attempt:
    """Send one request to one server and forward its answer."""

    def __init__(
        self,
        dependencies: request_dependencies.RequestDependencies,
        request: caller_request.CallerRequest,
        request_route: route.Route,
        chosen: server.Server,
        out: reply.Reply,
        stream: resumable_stream.ResumableStream,
        used_connections: list[backend_connection.BackendConnection],
    ) -> None:
        """Prepare a send to the chosen server.

        The stream holds what earlier attempts have forwarded. This one uses
        none of their connections: a late copy of an earlier answer bears the
        same request id as the answer to this send.
        """
        self._dependencies = dependencies
        self._request = request
        self._route = request_route
        self._server = chosen
        self._out = out
        self._stream = stream
        self._used_connections = used_connections
        self._splitter = stream.splitter
        self._links = dependencies.links.of_service(chosen.registration.service)
        self._idle_timeout_s: float | None = None
        self._began_s = float(0)
        self._wait_recorded = False
        self._end: answer_end.AnswerEnd | None = None
        self._framing: message.Framing | None = None
        self._events_before = stream.splitter.event_count
        # Added to the answer for an instance that has relayed the request.
        self._relay_headers: message.Headers = []
        self.progress = attempt_state.Progress.unsent

    async def run(self, deadline_s: float) -> attempt_result.AttemptResult:
        """Run the attempt; closes the connection if cancelled."""
        self._server.in_flight += 1
        self._began_s = self._dependencies.now()
        self._server.pause_state.begin_send(self, self._began_s)
        try:
            return await self._connect_and_send(deadline_s)
        finally:
            self._end_send()

    def _end_send(self) -> None:
        self._server.in_flight -= 1
        self._server.pause_state.end_send(self)
        if not self._wait_recorded:
            self._record_wait()

    async def _connect_and_send(
        self, deadline_s: float
    ) -> attempt_result.AttemptResult:
        try:
            connection = await self._acquire()
        except errors.ConnectFailed as error:
            self._server.suspend(self._dependencies.now())
            self._links.record_failed(self._server.server_id)
            return self._failure(str(error))
        try:
            return await self._exchange(connection, deadline_s)
        except _InvalidAnswer as error:
            self._record_outcome(failed=True)
            return self._failure(str(error))
        except _NoRoom:
            return self._failure('no room for the answer', given_up=True)
        finally:
            self._release(self._server.pool, connection)

    async def _acquire(self) -> backend_connection.BackendConnection:
        opened = self._server.pool.opened_count
        connection = await self._server.pool.acquire(self._used_connections)
        self._used_connections.append(connection)
        if self._server.pool.opened_count != opened:
            self._links.record_connected(
                self._server.server_id, self._dependencies.now()
            )
        return connection

    async def _exchange(
        self,
        connection: backend_connection.BackendConnection,
        deadline_s: float,
    ) -> attempt_result.AttemptResult:
        if not connection.reusable:
            return self._failure('connection lost before the send')
        if not self._server.accepts_sends(self._dependencies.now()):
            return self._failure('the server takes no more requests')
        parameters = wire_protocol.SendParameters(
            registration=self._server.registration,
            left_s=deadline_s - self._dependencies.now(),
            priority=self._route.priority,
            last_event_id=self._splitter.last_id,
        )
        encoded = self._dependencies.wire_protocol.encode_request(
            self._request, parameters
        )
        self.progress = attempt_state.Progress.written
        connection.send(encoded, self._is_own_answer)
        head = await self._wait_for_head(connection)
        if not isinstance(head, message.ResponseHead):
            raise _InvalidAnswer('no answer')
        return await self._read_answer(connection, head)

    async def _wait_for_head(
        self, connection: backend_connection.BackendConnection
    ) -> backend_connection.Event:
        self._links.begin_wait(id(self), self._dependencies.now())
        try:
            return await connection.next_event()
        finally:
            self._links.end_wait(id(self))

    async def _read_answer(
        self,
        connection: backend_connection.BackendConnection,
        head: message.ResponseHead,
    ) -> attempt_result.AttemptResult:
        self._links.record_heard(self._dependencies.now())
        self._server.end_suspension()
        answer = self._dependencies.wire_protocol.decode_answer_head(head)
        self._idle_timeout_s = answer.idle_timeout_s
        answer_state.record(
            self._dependencies,
            self._server,
            answer,
            send=self,
            sent_s=self._began_s,
        )
        if answer.leaving and self._request.relayed:
            self._relay_headers = (
                self._dependencies.wire_protocol.passed_leaving(
                    self._server.registration.registered_process
                )
            )
        self._dependencies.brittle_servers.record_answer(
            self._server,
            answer.max_rejections_per_s,
            self._began_s,
            self._dependencies.now(),
        )
        if answer.request_id is None and connection.request_count > 1:
            # It may be a late answer to an earlier request.
            raise _InvalidAnswer('an answer without an id, maybe a late one')
        if answer.not_executed or answer.misdirected:
            return await self._finish_declined(connection, head, answer)
        self._check_answer(head, answer)
        self._framing = head.framing
        if self._route.streaming and stream_head.is_stream(head):
            return await self._forward_stream(connection, head)
        return await self._buffer_answer(connection, head)

    def _check_answer(
        self, head: message.ResponseHead, answer: wire_protocol.AnswerHead
    ) -> None:
        """Raise _InvalidAnswer unless the answer may be forwarded."""
        if (
            answer.request_id is None
            or not answer.signed
            or answer.content_encoded
        ):
            raise _InvalidAnswer('not a valid answer of the server')
        if head.status in NOT_RUN_STATUSES:
            raise _InvalidAnswer(
                f'{head.status} without a statement that it has not run'
            )
        fault = self._stream.begin_answer(head)
        if fault is not None:
            raise _InvalidAnswer(fault)

    def _passed_headers(self, head: message.ResponseHead) -> message.Headers:
        return [*message.end_to_end(head.headers), *self._relay_headers]

    async def _finish_declined(
        self,
        connection: backend_connection.BackendConnection,
        head: message.ResponseHead,
        answer: wire_protocol.AnswerHead,
    ) -> attempt_result.AttemptResult:
        self.progress = attempt_state.Progress.declined
        if head.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            self._dependencies.brittle_servers.record_rejected(
                self._server, self._dependencies.now()
            )
        reason = f'declined with {head.status}'
        if not answer.request_id:
            reason = f'{reason} without an id'
        if not await skipped_body.skip(connection):
            # The connection can't be used again and is closed.
            reason = f'{reason}, with a body that does not end'
        return self._failure(reason, misdirected=answer.misdirected)

    async def _forward_stream(
        self,
        connection: backend_connection.BackendConnection,
        head: message.ResponseHead,
    ) -> attempt_result.AttemptResult:
        self._events_before = self._splitter.event_count
        event = await connection.next_event()
        while isinstance(event, backend_connection.BodyChunk):
            complete_events = self._feed(event.body)
            if complete_events:
                self._record_first_event()
                self._stream.record_begin(head, self._server.registration)
                self._start_answer(head, None)
                self._out.write(complete_events)
                await self._out.drain()
            # Only now: the events count as passed on.
            self._hold(self._splitter.held_bytes)
            event = await connection.next_event()
        end = answer_end.AnswerEnd(
            framing=head.framing,
            ending=backend_connection.ending_of(event),
            event_count=self._event_count(),
            partial_bytes=self._splitter.partial_bytes,
        )
        self._record_stream_end(end)
        if end.fault is not None:
            raise _InvalidAnswer(end.fault)
        await self._check_server_runs()
        self._start_answer(head, None)
        self._out.write(self._splitter.take_remainder())
        return self._finish()

    def _feed(self, chunk: bytes) -> bytes:
        try:
            return self._splitter.feed(chunk)
        except event_splitter.InvalidEvent as error:
            raise _InvalidAnswer(str(error)) from error

    def _hold(self, answer_bytes: int) -> None:
        if not self._out.hold(answer_bytes):
            raise _NoRoom

    async def _buffer_answer(
        self,
        connection: backend_connection.BackendConnection,
        head: message.ResponseHead,
    ) -> attempt_result.AttemptResult:
        buffered = bytearray()
        event = await connection.next_event()
        while isinstance(event, backend_connection.BodyChunk):
            buffered += event.body
            if len(buffered) > MAX_BUFFERED_ANSWER_BYTES:
                return await self._forward_rest(
                    connection, head, bytes(buffered)
                )
            self._hold(len(buffered))
            event = await connection.next_event()
        if event is not backend_connection.Ending.complete:
            raise _InvalidAnswer('incomplete answer')
        await self._check_server_runs()
        self.progress = attempt_state.Progress.answered
        self._record_outcome(failed=head.status >= SERVER_ERROR)
        return attempt_result.AttemptResult(
            progress=self.progress,
            sent_s=self._began_s,
            framing=self._framing,
            answer=attempt_result.BufferedAnswer(
                status=head.status,
                reason=head.reason,
                headers=self._passed_headers(head),
                body=bytes(buffered),
            ),
        )

    async def _forward_rest(
        self,
        connection: backend_connection.BackendConnection,
        head: message.ResponseHead,
        buffered: bytes,
    ) -> attempt_result.AttemptResult:
        """Forward an answer that is too long to be buffered."""
        length = head.header(b'content-length')
        self._start_answer(head, None if length is None else int(length))
        self._out.write(buffered)
        event = await connection.next_event()
        while isinstance(event, backend_connection.BodyChunk):
            self._out.write(event.body)
            await self._out.drain()
            event = await connection.next_event()
        if event is not backend_connection.Ending.complete:
            raise _InvalidAnswer('incomplete answer')
        await self._check_server_runs()
        return self._finish()

    async def _check_server_runs(self) -> None:
        """Raise _InvalidAnswer if the server has ended with its answer.

        An answer that ends with its connection looks whole then.  A server
        that leaves ends after its last answer.
        """
        unframed = self._framing is message.Framing.connection_end
        if not unframed or self._server.registration.leaving:
            return
        state = await process_watch.probe(self._server)
        if state is process_watch.ProcessState.ended:
            raise _InvalidAnswer('the server has ended with its answer')

    def _record_stream_end(self, end: answer_end.AnswerEnd) -> None:
        self._end = end
        request_metrics.STREAMS.labels(
            self._server.registration.service,
            end.framing.name,
            end.ending.name,
        ).inc()

    def _record_first_event(self) -> None:
        if not self._wait_recorded:
            self._wait_recorded = True
            self._record_wait()

    def _record_wait(self) -> None:
        """Record the time to first event, which admission control uses."""
        if self.progress is attempt_state.Progress.declined:
            return
        now_s = self._dependencies.now()
        if self._route.streaming:
            self._server.record_wait(now_s - self._began_s, now_s)

    def _start_answer(
        self, head: message.ResponseHead, length: int | None
    ) -> None:
        if self._out.started:
            return
        request_metrics.FIRST_BYTE_SECONDS.labels(
            self._server.registration.service,
        ).observe(self._dependencies.now() - self._request.began_s)
        self._out.start(
            head.status,
            self._passed_headers(head),
            reason=head.reason,
            length=length,
        )

    def _finish(self) -> attempt_result.AttemptResult:
        self._out.end()
        self.progress = attempt_state.Progress.answered
        self._record_outcome(failed=False)
        return attempt_result.AttemptResult(
            progress=self.progress,
            end=self._end,
            sent_s=self._began_s,
            framing=self._framing,
            event_count=self._event_count(),
        )

    def _event_count(self) -> int:
        return self._splitter.event_count - self._events_before

    def _failure(
        self, reason: str, *, misdirected: bool = False, given_up: bool = False
    ) -> attempt_result.AttemptResult:
        return attempt_result.AttemptResult(
            progress=self.progress,
            reason=reason,
            misdirected=misdirected,
            end=self._end,
            framing=self._framing,
            event_count=self._event_count(),
            given_up=given_up,
        )

    def _is_own_answer(self, head: message.ResponseHead) -> bool:
        answer_id = self._dependencies.wire_protocol.decode_answer_head(
            head
        ).request_id
        return answer_id is None or answer_id == self._request.request_id

    def _record_outcome(self, *, failed: bool) -> None:
        self._server.record_outcome(self._dependencies.now(), failed=failed)

    def _release(
        self,
        pool: connection_pool.ConnectionPool,
        connection: backend_connection.BackendConnection,
    ) -> None:
        pool.release(connection, idle_timeout_s=self._idle_timeout_s)
