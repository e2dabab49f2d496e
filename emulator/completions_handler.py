"""Answer completions of the engine stand-in."""

import time
from http import HTTPStatus
from typing import Any

import msgspec

from emulator import (
    completion,
    engine_handler,
    stand_in_engine,
    stream_sink,
    whole_sink,
    work,
)

CHAT_PATH = '/v1/chat/completions'


class EngineRefusal(msgspec.Struct, frozen=True):
    """Say why an engine did not run a request."""

    code: str


class CompletionsHandler(engine_handler.EngineHandler):
    """Run a completion and answer with a stream or as a whole."""

    def initialize(self, engine: stand_in_engine.StandInEngine) -> None:
        """Keep the engine."""
        super().initialize(engine)
        self._work: work.Work | None = None

    async def post(self) -> None:
        """Run one completion."""
        asked = self.decode(completion.Completion)
        refused = self._refused(asked)
        if refused is not None:
            code, status = refused
            self._refuse(code, status)
            return
        wanted = work.Work(asked, self._sink(asked))
        self._work = wanted
        self._engine.batch.submit(wanted)
        self._answer_end(asked, wanted, await wanted.end)

    def on_connection_close(self) -> None:
        """Stop the work for a caller that is gone."""
        if self._work is not None:
            self._engine.batch.stop(self._work, work.End.cancelled)

    def _refused(
        self,
        asked: completion.Completion,
    ) -> tuple[str, HTTPStatus] | None:
        faults = self._engine.faults.current
        if faults.leaving:
            return 'leaving', HTTPStatus.SERVICE_UNAVAILABLE
        if not self._engine.memory.serves(asked.model, asked.adapter):
            return 'not_loaded', HTTPStatus.CONFLICT
        if faults.refuse or self._engine.batch.is_full:
            return 'busy', HTTPStatus.TOO_MANY_REQUESTS
        return None

    def _refuse(self, code: str, status: HTTPStatus) -> None:
        self.set_header('X-Load', self._engine.load_header())
        self.answer(EngineRefusal(code), status)

    def _sink(
        self,
        asked: completion.Completion,
    ) -> stream_sink.StreamSink | whole_sink.WholeSink:
        connection = self.request.connection
        if asked.stream and connection is not None:
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
        asked: completion.Completion,
        wanted: work.Work,
        end: work.End,
    ) -> None:
        if self.request.connection is None or end is work.End.cancelled:
            self._drop()
        elif end is work.End.not_loaded and wanted.entry is None:
            self._refuse('not_loaded', HTTPStatus.CONFLICT)
        elif end is not work.End.finished:
            self._drop()
        elif asked.stream:
            self.finish()
        else:
            self._answer_whole(asked, wanted)

    def _drop(self) -> None:
        if not self._finished:
            self.cut()

    def _answer_whole(
        self,
        asked: completion.Completion,
        wanted: work.Work,
    ) -> None:
        text = ''.join(wanted.texts)
        chat = self.request.path == CHAT_PATH
        told: dict[str, Any] = {'text': text}
        if chat:
            told = {'message': {'role': 'assistant', 'content': text}}
        count = len(wanted.texts)
        self.set_header('X-Load', self._engine.load_header())
        self.finish(
            {
                'id': asked.request_id,
                'object': 'chat.completion' if chat else 'text_completion',
                'created': int(time.time()),
                'model': asked.model,
                'choices': [{'index': 0, 'finish_reason': 'length', **told}],
                'usage': {'completion_tokens': count},
                'digest': wanted.digest(),
            }
        )
