"""Handle completion requests to the engine stand-in."""

import time
from http import HTTPStatus
from typing import Any

import msgspec

from emulator import (
    completion_request,
    engine_handler,
    engine_job,
    stand_in_engine,
    stream_sink,
    whole_sink,
)

CHAT_PATH = '/v1/chat/completions'


class EngineRefusal(msgspec.Struct, frozen=True):
    """Reason why an engine did not run a request."""

    code: str


class CompletionsHandler(engine_handler.EngineHandler):
    """Run a completion and answer with a stream or a single body."""

    def initialize(self, engine: stand_in_engine.StandInEngine) -> None:
        """Set the engine."""
        super().initialize(engine)
        self._job: engine_job.EngineJob | None = None

    async def post(self) -> None:
        """Run one completion."""
        request_body = self.decode(completion_request.CompletionRequest)
        refusal = self._refusal(request_body)
        if refusal is not None:
            code, status = refusal
            self._refuse(code, status)
            return
        job = engine_job.EngineJob(request_body, self._sink(request_body))
        self._job = job
        self._engine.batch.submit(job)
        self._answer_end(request_body, job, await job.end)

    def on_connection_close(self) -> None:
        """Cancel the request of a disconnected caller."""
        if self._job is not None:
            self._engine.batch.stop(self._job, engine_job.JobEnd.cancelled)

    def _refusal(
        self,
        request_body: completion_request.CompletionRequest,
    ) -> tuple[str, HTTPStatus] | None:
        faults = self._engine.faults.current
        if faults.leaving:
            return 'leaving', HTTPStatus.SERVICE_UNAVAILABLE
        if not self._engine.memory.serves(
            request_body.model, request_body.adapter
        ):
            return 'not_loaded', HTTPStatus.CONFLICT
        if faults.refuse or self._engine.batch.is_full:
            return 'busy', HTTPStatus.TOO_MANY_REQUESTS
        return None

    def _refuse(self, code: str, status: HTTPStatus) -> None:
        self.set_header('X-Load', self._engine.load_header())
        self.answer(EngineRefusal(code), status)

    def _sink(
        self,
        request_body: completion_request.CompletionRequest,
    ) -> stream_sink.StreamSink | whole_sink.WholeSink:
        connection = self.request.connection
        if request_body.stream and connection is not None:
            return stream_sink.StreamSink(connection, self._send_headers)
        return whole_sink.WholeSink()

    def _send_headers(self) -> None:
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('X-Load', self._engine.load_header())
        stream: Any = self.request.connection
        stream.stream.set_nodelay(True)
        self.flush()

    def _answer_end(
        self,
        request_body: completion_request.CompletionRequest,
        job: engine_job.EngineJob,
        end: engine_job.JobEnd,
    ) -> None:
        if (
            self.request.connection is None
            or end is engine_job.JobEnd.cancelled
        ):
            self._cut_unfinished()
        elif end is engine_job.JobEnd.not_loaded and job.entry is None:
            self._refuse('not_loaded', HTTPStatus.CONFLICT)
        elif end is not engine_job.JobEnd.finished:
            self._cut_unfinished()
        elif request_body.stream:
            self.finish()
        else:
            self._answer_whole(request_body, job)

    def _cut_unfinished(self) -> None:
        if not self._finished:
            self.cut()

    def _answer_whole(
        self,
        request_body: completion_request.CompletionRequest,
        job: engine_job.EngineJob,
    ) -> None:
        text = ''.join(job.texts)
        is_chat = self.request.path == CHAT_PATH
        choice: dict[str, Any] = {'text': text}
        if is_chat:
            choice = {'message': {'role': 'assistant', 'content': text}}
        count = len(job.texts)
        self.set_header('X-Load', self._engine.load_header())
        self.finish(
            {
                'id': request_body.request_id,
                'object': 'chat.completion' if is_chat else 'text_completion',
                'created': int(time.time()),
                'model': request_body.model,
                'choices': [{'index': 0, 'finish_reason': 'length', **choice}],
                'usage': {'completion_tokens': count},
                'digest': job.digest(),
            }
        )
