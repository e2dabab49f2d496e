"""Dispatch requests to model engines and resume their streams."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import msgspec
from tornado import httputil

from oatcrank import errors, ids, rpc
from oatcrank.engines import adapter_loader, backend_server, engine
from oatcrank.entry import (
    answer_memory,
    dispatch_queue,
    dispatch_request,
    dispatcher,
    event_splitter,
    response_writer,
    upstream_connection,
)

PROBE_TIMEOUT_S = 1.0
NOT_LOADED_RETRY_DELAY_S = 0.1
EVENT_STREAM = 'text/event-stream'
# X-Load holds the running requests, the queued requests and the slots.
LOAD_FIELD_COUNT = 3
# Limit of an answer that is not a stream; it is forwarded as a whole.
ERROR_BY_STATUS: dict[int, type[errors.BackendError]] = {
    HTTPStatus.CONFLICT: errors.NotLoaded,
    HTTPStatus.TOO_MANY_REQUESTS: errors.Busy,
    HTTPStatus.SERVICE_UNAVAILABLE: errors.NotStarted,
}

EngineOf = Callable[[backend_server.BackendServer], engine.ModelEngine]


class ModelDispatcher(dispatcher.Dispatcher):
    """Queue requests for model engines and relay the answers."""

    def __init__(
        self,
        *,
        queue: dispatch_queue.DispatchQueue,
        engine_of: EngineOf,
        adapters: adapter_loader.AdapterLoader,
        answers: answer_memory.AnswerMemory | None = None,
        **common: Any,
    ) -> None:
        """Use engine_of(server) as clients; adapters loads adapters."""
        super().__init__(**common)
        self._answers = answers or answer_memory.AnswerMemory()
        self._queue = queue
        self._engine_of = engine_of
        self._adapters = adapters
        self._cancel_tasks: set[asyncio.Task[None]] = set()

    async def _reserve(
        self,
        request: dispatch_request.DispatchRequest,
        *,
        crashes: int,
    ) -> backend_server.BackendServer:
        assert isinstance(request, dispatch_request.ModelRequest)
        return await self._queue.reserve(request, crashes=crashes)

    def _release(
        self,
        server: backend_server.BackendServer,
        request: dispatch_request.DispatchRequest,
    ) -> None:
        assert isinstance(request, dispatch_request.ModelRequest)
        self._queue.release(server, request.model)

    async def _is_alive(self, server: backend_server.BackendServer) -> bool:
        try:
            report = await self._engine_of(server).report(
                timeout_s=PROBE_TIMEOUT_S,
            )
        except errors.OatcrankError:
            return False
        is_same_boot = server.boot_id in {'', report.boot_id}
        server.boot_id = report.boot_id
        return is_same_boot

    async def _send(
        self,
        server: backend_server.BackendServer,
        request: dispatch_request.DispatchRequest,
        writer: response_writer.ResponseWriter,
    ) -> None:
        assert isinstance(request, dispatch_request.ModelRequest)
        if request.adapter:
            await self._ensure_adapter(server, request)
        attempt_id = request.next_attempt_id()
        started = self._clock.now()
        body = self._answers.open()
        relay = _AnswerRelay(server, request, writer, body)
        try:
            await relay.run(attempt_id, lambda: self._is_alive(server))
        except asyncio.CancelledError:
            self._cancel(server, attempt_id)
            raise
        finally:
            body.close()
        if relay.failure is None:
            self._queue.record_service_s(
                request.model, self._clock.now() - started
            )
            return
        if isinstance(relay.failure, errors.NotLoaded):
            self._adapters.forget(server, request.model)
            self._queue.exclude_not_loaded(server, request.model)
        raise relay.failure

    async def _ensure_adapter(
        self,
        server: backend_server.BackendServer,
        request: dispatch_request.ModelRequest,
    ) -> None:
        try:
            await self._adapters.ensure_loaded(
                server,
                self._engine_of(server),
                request.model,
                request.adapter,
            )
        except errors.NotLoaded:
            # Give the plan time to change before the next attempt.
            await asyncio.sleep(NOT_LOADED_RETRY_DELAY_S)
            raise

    def _cancel(
        self,
        server: backend_server.BackendServer,
        attempt_id: ids.RequestId,
    ) -> None:
        task = asyncio.create_task(self._send_cancel(server, attempt_id))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    async def _send_cancel(
        self,
        server: backend_server.BackendServer,
        attempt_id: ids.RequestId,
    ) -> None:
        try:
            await self._engine_of(server).cancel(attempt_id)
        except errors.OatcrankError:
            # The closed connection cancels the request as well.
            return


class _AnswerRelay:
    """Relay the answer of one attempt."""

    def __init__(
        self,
        server: backend_server.BackendServer,
        request: dispatch_request.ModelRequest,
        writer: response_writer.ResponseWriter,
        body: answer_memory.BufferedAnswer,
    ) -> None:
        self.failure: errors.BackendError | None = None
        self._server = server
        self._request = request
        self._writer = writer
        self._splitter = event_splitter.EventSplitter()
        self._body = body
        self._status = 0
        self._content_type = ''
        self._has_events = False

    async def run(
        self,
        attempt_id: ids.RequestId,
        probe: upstream_connection.Probe,
    ) -> None:
        """Relay the complete answer; store an error in failure."""
        connection = upstream_connection.UpstreamConnection(
            self._on_head, self._on_chunk
        )
        payload = {
            **self._request.payload,
            'request_id': attempt_id,
            'resume_from': self._request.sent_tokens,
        }
        try:
            await connection.run(
                self._server.listed.address,
                httputil.RequestStartLine('POST', self._request.path, ''),
                httputil.HTTPHeaders({'Content-Type': rpc.JSON_TYPE}),
                msgspec.json.encode(payload),
                permit=self._request.permit,
                probe=probe,
            )
        except errors.BackendError as error:
            self.failure = error
        else:
            await self._finish()

    def _on_head(self, status: int, headers: httputil.HTTPHeaders) -> None:
        self._status = status
        self._content_type = headers.get('Content-Type', rpc.JSON_TYPE)
        media_type = headers.get('Content-Type', EVENT_STREAM).partition(';')[0]
        self._has_events = media_type.strip().lower() == EVENT_STREAM
        load = headers.get('X-Load', '').split(',')
        if len(load) == LOAD_FIELD_COUNT:
            self._server.record_load(*(int(part) for part in load))

    def _on_chunk(self, chunk: bytes) -> Any:
        if not (self._is_stream() and self._has_events):
            self._body.add(chunk)
            return None
        before = self._splitter.tokens
        events = self._splitter.feed(chunk)
        if not events:
            return None
        self._request.sent_tokens += self._splitter.tokens - before
        self._request.begun = True
        self._writer.write_head(self._status, self._content_type)
        return self._writer.write(events)

    def _is_stream(self) -> bool:
        return self._status == HTTPStatus.OK and self._request.streams

    async def _finish(self) -> None:
        if self._is_stream():
            if not self._splitter.done:
                self.failure = errors.Interrupted('the stream ended early')
            return
        error_type = ERROR_BY_STATUS.get(self._status)
        if error_type is not None:
            self.failure = error_type(f'status {self._status}')
        elif (
            self._request.begun
            or self._status >= HTTPStatus.INTERNAL_SERVER_ERROR
        ):
            # It can't go on with a stream that has begun.
            self.failure = errors.Interrupted(f'status {self._status}')
        else:
            self._writer.write_head(self._status, self._content_type)
            written = self._writer.write(bytes(self._body))
            if written is not None:
                await written
