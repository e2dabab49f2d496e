"""Forward the answer of a server to the caller."""

from collections.abc import Callable

from oatcrank.forwarding import (
    answer_end,
    attempt_result,
    caller_request,
    event_splitter,
    process_watch,
    request_dependencies,
    request_metrics,
    resumable_stream,
    stream_head,
)
from oatcrank.routing import route, server
from oatcrank.transport import backend_connection, message, reply

# Longer answers are forwarded as they arrive.
MAX_BUFFERED_ANSWER_BYTES = 262144


class InvalidAnswer(Exception):  # noqa: N818
    """Raised for an answer that is missing, incomplete or not the server's."""


class NoRoom(Exception):  # noqa: N818
    """Raised if this instance has no room for the answer."""


class AnswerForwarder:
    """Forward one answer: events as they arrive, others once they are whole."""

    def __init__(
        self,
        dependencies: request_dependencies.RequestDependencies,
        request: caller_request.CallerRequest,
        request_route: route.Route,
        chosen: server.Server,
        out: reply.Reply,
        stream: resumable_stream.ResumableStream,
        on_events: Callable[[], None],
    ) -> None:
        """Prepare to forward; call on_events whenever events arrive."""
        self._dependencies = dependencies
        self._request = request
        self._route = request_route
        self._server = chosen
        self._out = out
        self._stream = stream
        self._on_events = on_events
        self._splitter = stream.splitter
        self._events_before = stream.splitter.event_count
        # Added to the answer for an instance that has relayed the request.
        self.relay_headers: message.Headers = []
        # None until the head of a valid answer has arrived.
        self.framing: message.Framing | None = None
        # None until a stream has ended.
        self.end: answer_end.AnswerEnd | None = None

    @property
    def event_count(self) -> int:
        """Return the number of whole events of this answer."""
        return self._splitter.event_count - self._events_before

    async def forward(
        self,
        connection: backend_connection.BackendConnection,
        head: message.ResponseHead,
    ) -> attempt_result.BufferedAnswer | None:
        """Return an answer that is still to be passed on, or pass it on.

        Raises InvalidAnswer or NoRoom.
        """
        self.framing = head.framing
        if self._route.streaming and stream_head.is_stream(head):
            await self._forward_stream(connection, head)
            return None
        return await self._buffer_answer(connection, head)

    async def _forward_stream(
        self,
        connection: backend_connection.BackendConnection,
        head: message.ResponseHead,
    ) -> None:
        event = await connection.next_event()
        while isinstance(event, backend_connection.BodyChunk):
            complete_events = self._feed(event.body)
            if complete_events:
                self._on_events()
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
            event_count=self.event_count,
            partial_bytes=self._splitter.partial_bytes,
        )
        self._record_stream_end(end)
        if end.fault is not None:
            raise InvalidAnswer(end.fault)
        await self._check_server_runs()
        self._start_answer(head, None)
        self._out.write(self._splitter.take_remainder())
        self._out.end()

    def _feed(self, chunk: bytes) -> bytes:
        try:
            return self._splitter.feed(chunk)
        except event_splitter.InvalidEvent as error:
            raise InvalidAnswer(str(error)) from error

    def _hold(self, answer_bytes: int) -> None:
        if not self._out.hold(answer_bytes):
            raise NoRoom

    async def _buffer_answer(
        self,
        connection: backend_connection.BackendConnection,
        head: message.ResponseHead,
    ) -> attempt_result.BufferedAnswer | None:
        buffered = bytearray()
        event = await connection.next_event()
        while isinstance(event, backend_connection.BodyChunk):
            buffered += event.body
            if len(buffered) > MAX_BUFFERED_ANSWER_BYTES:
                await self._forward_rest(connection, head, bytes(buffered))
                return None
            self._hold(len(buffered))
            event = await connection.next_event()
        if event is not backend_connection.Ending.complete:
            raise InvalidAnswer('incomplete answer')
        await self._check_server_runs()
        return attempt_result.BufferedAnswer(
            status=head.status,
            reason=head.reason,
            headers=self._passed_headers(head),
            body=bytes(buffered),
        )

    async def _forward_rest(
        self,
        connection: backend_connection.BackendConnection,
        head: message.ResponseHead,
        buffered: bytes,
    ) -> None:
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
            raise InvalidAnswer('incomplete answer')
        await self._check_server_runs()
        self._out.end()

    async def _check_server_runs(self) -> None:
        """Raise InvalidAnswer if the server has ended with its answer.

        An answer that ends with its connection looks whole then.  A server
        that leaves ends after its last answer.
        """
        unframed = self.framing is message.Framing.connection_end
        if not unframed or self._server.registration.leaving:
            return
        state = await process_watch.probe(self._server)
        if state is process_watch.ProcessState.ended:
            raise InvalidAnswer('the server has ended with its answer')

    def _record_stream_end(self, end: answer_end.AnswerEnd) -> None:
        self.end = end
        request_metrics.STREAMS.labels(
            self._server.registration.service,
            end.framing.name,
            end.ending.name,
        ).inc()

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

    def _passed_headers(self, head: message.ResponseHead) -> message.Headers:
        return [*message.end_to_end(head.headers), *self.relay_headers]
