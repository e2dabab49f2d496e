"""Stand-in for a platform worker, with faults set by tests."""

import asyncio
import json
import weakref
from http import HTTPStatus

from emulator import (
    brittle_room,
    endless_answer,
    platform_answer_mode,
    platform_worker_request,
    scripted_answer,
    worker_crash,
)
from emulator import platform_worker_answers as answers

OK = b'HTTP/1.1 200 OK'
CLOSE = b'Connection: close'
LONG_BODY = b'a long body that is not sent to its end'
MISSING_BYTES = 20

Headers = answers.Headers


LAST_CHUNK = b'0\r\n\r\n'


class Worker:
    """Worker on loopback that answers as a test sets.

    next_answer_modes: modes of the next requests, before answer_mode applies.
    received_requests: all requests, with orders and reports.
    executed_request_ids: ids of the requests that were executed.
    interrupted_connections: number of connections that broke within a request.
    event_count: number of events in a stream.
    events_before: the id of the first event is one higher.
    crashed: set once the worker has crashed of a request.
    limit_per_s: limit that all answers name, if it is set.
    leaving: whether all answers say that the worker leaves.
    retry_after: if it is set, all requests, orders and reports are turned away
        with 503 and this Retry-After.
    room: for how many requests there is room, if that is limited.
    endless_answer: what is sent until the caller closes, if it is set; the
        bytes are counted in endless_bytes.
    scripted_answers: answers of the next requests, before any mode applies.
    """

    def __init__(self, worker_id: str = 'worker-1') -> None:
        """Start with whole answers."""
        self.worker_id = worker_id
        self.answer_mode = platform_answer_mode.AnswerMode.whole
        self.next_answer_modes: list[platform_answer_mode.AnswerMode] = []
        self.received_requests: list[
            platform_worker_request.ReceivedRequest
        ] = []
        self.executed_request_ids: list[str] = []
        self.connection_count = 0
        self.interrupted_connections = 0
        self.event_count = 4
        self.events_before = 0
        self.event_delay_s = float(0)
        # A part of prompts that crashes the worker as it begins to answer.
        self.crashing_part = ''
        # A path, with or without a query, that crashes the worker as it begins
        # to run a request.
        self.crashing_path = ''
        self.crash_manner = worker_crash.WorkerCrash()
        self.crashed = asyncio.Event()
        self.limit_per_s: float | None = None
        self.leaving = False
        self.retry_after = ''
        self.room: brittle_room.BrittleRoom | None = None
        self.endless_answer: endless_answer.EndlessAnswer | None = None
        self.endless_bytes = 0
        self.scripted_answers: list[scripted_answer.ScriptedAnswer] = []
        self.answer_delay_s = float(0)
        # Time for which nothing of a request is read.
        self.read_delay_s = float(0)
        self.order_status = int(HTTPStatus.ACCEPTED)
        self.order_delay_s = float(0)
        self.report: dict[str, object] = {'busy': False, 'seq': 0}
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Those on which an earlier request was answered.
        self._reused_writers = weakref.WeakSet[asyncio.StreamWriter]()
        # The id of the request that was last declined on a connection.
        self._declined_id_by_writer = weakref.WeakKeyDictionary[
            asyncio.StreamWriter, str
        ]()

    async def start(self, port: int = 0) -> None:
        """Listen on a port; 0 means any free one."""
        self._server = await asyncio.start_server(
            self._serve,
            '127.0.0.1',
            port,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset open connections, as in a crash."""
        self._stop_listening()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    async def crash(self) -> None:
        """End as in a crash, in the manner that is set."""
        self.crashed.set()
        for writer in tuple(self._writers):
            if self.crash_manner.resets:
                writer.transport.abort()
            else:
                writer.close()
        await asyncio.sleep(self.crash_manner.port_open_s)
        await self.stop()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connection_count += 1
        self._writers.add(writer)
        try:
            while await self._answer_next(reader, writer):
                self._reused_writers.add(writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.interrupted_connections += 1
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_next(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        await asyncio.sleep(self.read_delay_s)
        request = await platform_worker_request.read_request(reader)
        if request is None:
            return False
        request.limit_per_s = self.limit_per_s
        request.leaving = self.leaving
        request.retry_after = self.retry_after
        self.received_requests.append(request)
        if self.retry_after:
            writer.write(answers.full(self._answer_headers(request)))
            return True
        if request.target in {'/order', '/report'}:
            await self._answer_call(request.target, writer)
            return True
        if self.endless_answer is not None:
            await self._send_without_end(self.endless_answer, request, writer)
        return await self._take(request, writer)

    async def _take(
        self,
        request: platform_worker_request.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request if there is room for it."""
        if self.room is None:
            return await self._run(request, writer)
        if not self.room.enter():
            if self.room.has_fallen:
                await self.crash()
                return False
            return await self._send_answer(
                platform_answer_mode.AnswerMode.full, request, writer
            )
        try:
            return await self._run(request, writer)
        finally:
            self.room.leave()

    async def _run(
        self,
        request: platform_worker_request.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        mode = self._next_mode(request)
        if mode not in platform_answer_mode.NOT_RUN_MODES:
            self.executed_request_ids.append(
                request.header_by_name['x-request-id']
            )
        if self.answer_delay_s:
            await asyncio.sleep(self.answer_delay_s)
        if request.target.partition('?')[0] == self.crashing_path:
            await self.crash()
            return False
        return await self._send_answer(mode, request, writer)

    async def _answer_call(
        self, target: str, writer: asyncio.StreamWriter
    ) -> None:
        """Answer an order or a request for a report."""
        status = int(HTTPStatus.OK)
        body = json.dumps(self.report).encode()
        if target == '/order':
            await asyncio.sleep(self.order_delay_s)
            status = self.order_status
            body = b'{}'
        writer.write(answers.encode_answer(status, self._state_headers(), body))

    def _next_mode(
        self, request: platform_worker_request.ReceivedRequest
    ) -> platform_answer_mode.AnswerMode:
        mode = (
            self.next_answer_modes.pop(0)
            if self.next_answer_modes
            else self.answer_mode
        )
        if mode is platform_answer_mode.AnswerMode.as_accepted:
            return platform_worker_request.accepted_mode(request)
        return mode

    async def _send_without_end(
        self,
        answer: endless_answer.EndlessAnswer,
        request: platform_worker_request.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send bytes until the caller closes the connection."""
        writer.write(answer.first(self._answer_headers(request)))
        while True:
            writer.write(answer.repeated)
            await writer.drain()
            self.endless_bytes += len(answer.repeated)

    async def _send_answer(
        self,
        mode: platform_answer_mode.AnswerMode,
        request: platform_worker_request.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if self.scripted_answers:
            return await self.scripted_answers.pop(0).send(
                request.header_by_name['x-request-id'], writer
            )
        mode = self._possible_mode(mode, request, writer)
        build = answers.BUILDER_BY_MODE.get(mode)
        if build is not None:
            writer.write(build(self._answer_headers(request)))
            return mode is not platform_answer_mode.AnswerMode.closing
        if mode in platform_answer_mode.STREAM_MODES:
            return await self._send_stream(mode, request, writer)
        if mode is platform_answer_mode.AnswerMode.no_answer:
            await asyncio.Event().wait()
        await writer.drain()
        if mode is platform_answer_mode.AnswerMode.truncated:
            answer = answers.encode_answer(
                HTTPStatus.OK, self._answer_headers(request), LONG_BODY
            )
            writer.write(answer[:-MISSING_BYTES])
            await writer.drain()
            return False
        if mode in platform_answer_mode.PLAIN_WITHOUT_LENGTH_MODES:
            writer.write(
                answers.without_length(self._answer_headers(request), b'whole')
            )
            if mode is platform_answer_mode.AnswerMode.without_length_then_end:
                self._stop_listening()
            return False
        writer.transport.abort()
        return False

    def _possible_mode(
        self,
        mode: platform_answer_mode.AnswerMode,
        request: platform_worker_request.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> platform_answer_mode.AnswerMode:
        """Return a mode; late answers need an earlier request."""
        request_id = request.header_by_name.get('x-request-id', '')
        declined_id = self._declined_id_by_writer.get(writer)
        if mode is platform_answer_mode.AnswerMode.full:
            self._declined_id_by_writer[writer] = request_id
        if mode is platform_answer_mode.AnswerMode.late_decline_first:
            return (
                mode
                if writer in self._reused_writers
                else platform_answer_mode.AnswerMode.whole
            )
        if mode is platform_answer_mode.AnswerMode.repeated_decline_first:
            return (
                mode
                if declined_id == request_id
                else platform_answer_mode.AnswerMode.whole
            )
        return mode

    async def _send_stream(
        self,
        mode: platform_answer_mode.AnswerMode,
        request: platform_worker_request.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        chunked = mode not in platform_answer_mode.WITHOUT_LENGTH_MODES
        write = _write_chunk if chunked else _write_bytes
        headers = self._answer_headers(request)
        framing = b'Transfer-Encoding: chunked' if chunked else CLOSE
        head = [OK, framing]
        head.extend(f'{key}: {text}'.encode() for key, text in headers.items())
        writer.write(b'\r\n'.join((*head, b'', b'')))
        crashes_after = self._events_before_crash(request)
        if crashes_after == 0:
            await writer.drain()
            await self.crash()
            return False
        if mode is platform_answer_mode.AnswerMode.empty_stream_without_length:
            return False
        last_id = request.header_by_name.get('last-event-id')
        start = self.events_before if last_id is None else int(last_id)
        last_number = self.events_before + self.event_count
        for number in range(start + 1, last_number + 1):
            event = b'id: %d\ndata: word%d\n\n' % (number, number)
            if (
                mode in platform_answer_mode.TRUNCATED_STREAM_MODES
                and number == start + 2
            ):
                write(writer, event[:9])
                if mode is platform_answer_mode.AnswerMode.ended_within_event:
                    writer.write(LAST_CHUNK)
                await writer.drain()
                return False
            await asyncio.sleep(self.event_delay_s)
            write(writer, event)
            await writer.drain()
            if number - start == crashes_after:
                await self.crash()
                return False
        if chunked:
            writer.write(LAST_CHUNK)
        return chunked

    def _events_before_crash(
        self, request: platform_worker_request.ReceivedRequest
    ) -> int | None:
        """Return after how many events the worker crashes, or None."""
        if (
            self.crashing_part
            and self.crashing_part
            in platform_worker_request.shared_parts(request)
        ):
            return self.crash_manner.whole_events
        return None

    def _answer_headers(
        self, request: platform_worker_request.ReceivedRequest
    ) -> Headers:
        return {
            'X-Request-Id': request.header_by_name.get('x-request-id', ''),
            'X-Response-Signature': f'signed-by-{self.worker_id}',
            'X-Server-Load': '3,1,64',
            'Keep-Alive': 'timeout=5',
            **self._state_headers(),
            **({} if self.room is None else self.room.headers()),
        }

    def _state_headers(self) -> Headers:
        headers: Headers = {}
        if self.limit_per_s is not None:
            headers['Server-Limit'] = f'{self.limit_per_s}'
        if self.leaving:
            headers['Server-Leaving'] = '1'
        if self.retry_after:
            headers['Retry-After'] = self.retry_after
        return headers


def _write_chunk(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(b'%x\r\n%s\r\n' % (len(body), body))


def _write_bytes(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(body)
