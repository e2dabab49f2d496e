"""Send a request to one backend server and read its answer."""

import http

from oatcrank.forwarding import (
    answer_forwarder,
    answer_state,
    attempt_result,
    attempt_state,
    caller_request,
    request_dependencies,
    resumable_stream,
    skipped_body,
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
        self._is_past_crash = False
        self._forwarder = answer_forwarder.AnswerForwarder(
            dependencies,
            request,
            request_route,
            chosen,
            out,
            stream,
            self._record_events,
        )
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
        except answer_forwarder.InvalidAnswer as error:
            self._record_outcome(failed=True)
            return self._failure(str(error))
        except answer_forwarder.NoRoom:
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
            raise answer_forwarder.InvalidAnswer('no answer')
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
            self._forwarder.relay_headers = (
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
            raise answer_forwarder.InvalidAnswer(
                'an answer without an id, maybe a late one'
            )
        if answer.not_executed or answer.misdirected:
            return await self._finish_declined(connection, head, answer)
        self._check_answer(head, answer)
        return self._finish(await self._forwarder.forward(connection, head))

    def _check_answer(
        self, head: message.ResponseHead, answer: wire_protocol.AnswerHead
    ) -> None:
        """Raise InvalidAnswer unless the answer may be forwarded."""
        if (
            answer.request_id is None
            or not answer.signed
            or answer.content_encoded
        ):
            raise answer_forwarder.InvalidAnswer(
                'not a valid answer of the server'
            )
        if head.status in NOT_RUN_STATUSES:
            raise answer_forwarder.InvalidAnswer(
                f'{head.status} without a statement that it has not run'
            )
        fault = self._stream.begin_answer(head)
        if fault is not None:
            raise answer_forwarder.InvalidAnswer(fault)

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

    def _record_events(self) -> None:
        if not self._wait_recorded:
            self._wait_recorded = True
            self._record_wait()
        if not self._is_past_crash:
            self._is_past_crash = self._dependencies.crash_guard.record_events(
                self._stream.identity,
                self._forwarder.event_count,
                self._dependencies.now(),
            )

    def _record_wait(self) -> None:
        """Record the time to first event, which admission control uses."""
        if self.progress is attempt_state.Progress.declined:
            return
        now_s = self._dependencies.now()
        if self._route.streaming:
            self._server.record_wait(now_s - self._began_s, now_s)

    def _finish(
        self, answer: attempt_result.BufferedAnswer | None
    ) -> attempt_result.AttemptResult:
        self.progress = attempt_state.Progress.answered
        self._record_outcome(
            failed=answer is not None and answer.status >= SERVER_ERROR
        )
        return attempt_result.AttemptResult(
            progress=self.progress,
            answer=answer,
            end=self._forwarder.end,
            sent_s=self._began_s,
            framing=self._forwarder.framing,
            event_count=self._forwarder.event_count,
        )

    def _failure(
        self, reason: str, *, misdirected: bool = False, given_up: bool = False
    ) -> attempt_result.AttemptResult:
        return attempt_result.AttemptResult(
            progress=self.progress,
            reason=reason,
            misdirected=misdirected,
            end=self._forwarder.end,
            framing=self._forwarder.framing,
            event_count=self._forwarder.event_count,
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
