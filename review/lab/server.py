"""Stand-ins for backend servers: plain ones and model servers."""

import asyncio
import dataclasses
import json
import random
import time
from collections.abc import Callable

from lab import store, wire

EVENT_BYTES = 24
IDLE_TIMEOUT_S = 30


@dataclasses.dataclass
class Run:
    """One run of a request at a server."""

    request_id: str
    server_id: str
    began_s: float
    target: str
    body: bytes


class Slots:
    """Places for running and waiting requests; a full server declines."""

    def __init__(self, slots: int, queue: int) -> None:
        """Set how many requests run and wait."""
        self.slots = slots
        self._queue = queue
        self._free = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.idle = asyncio.Event()
        self.idle.set()

    async def enter(self) -> bool:
        """Wait for a place; return False at once if the queue is full."""
        if self._free.locked() and self.waiting >= self._queue:
            return False
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.idle.clear()
        return True

    def leave(self) -> None:
        """Free the place."""
        self.running -= 1
        if not self.running:
            self.idle.set()
        self._free.release()


class Server:
    """A backend server that checks, queues and runs requests.

    run_s: how long a request runs after it has begun.
    begin_s: how long reading the request takes before it begins to run.
    events: number of events of a stream; 0 for a plain answer.
    repeat_share: share of the answers that are sent once more, late: where the
        next response on that connection is expected.
    load_s: how long a load of a model takes.
    draw_events: returns the number of events of a stream, if it varies.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        zone: str,
        kept: store.Store,
        log: Callable[..., None],
        *,
        slots: int,
        queue: int,
        begin_s: float = 0.03,
        run_s: float = 0.2,
        events: int = 0,
        models: tuple[str, ...] = (),
        version: str = 'v1',
    ) -> None:
        """Prepare a server; start() lets it listen and register."""
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.slots = Slots(slots, queue)
        self.begin_s = begin_s
        self.run_s = run_s
        self.events = events
        self.models = list(models)
        self.version = version
        self.repeat_share = 0.0
        self.load_s = 0.4
        self.is_busy = False
        self.draw_events: Callable[[], int] | None = None
        self.state = 'ready'
        self.seq = 0
        self.runs: list[Run] = []
        self.orders: list[dict] = []
        self.repeated = 0
        self.port = 0
        self.rng = random.Random(server_id)
        self.log = log
        self._store = kept
        self._born_ms = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def key(self) -> str:
        """Return the key of the registration."""
        return f'servers/{self.server_id}'

    def entry(self) -> dict:
        """Return the registration."""
        return {
            'backend': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'stage': 'colocated',
            'models': [
                {'name': name, 'version': 1, 'adapters': []}
                for name in self.models
            ],
            'seq': self.seq,
            'born': self._born_ms,
        }

    async def start(self, port: int = 0) -> None:
        """Listen and register."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.register()

    def register(self) -> None:
        """Write the registration to the store, once the store is there."""
        if not self._store.is_away:
            self._store.put(self.key, self.entry())

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        late = b''
        copied: dict[str, str] = {}
        try:
            while (request := await wire.read_request(reader)) is not None:
                if late:
                    self.repeated += 1
                    self.log(
                        'late_copy',
                        server=self.server_id,
                        of=copied['request'],
                        before=_id(request)['request'],
                    )
                    writer.write(late)
                    late = b''
                answer = await self._answer(request, reader, writer)
                if answer and self.rng.random() < self.repeat_share:
                    late = answer
                    copied = _id(request)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        request: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        """Answer a request; return the bytes of a whole answer."""
        expected = request.headers.get('x-expected-instance')
        if expected not in {None, self.server_id}:
            return _send(
                writer, 421, {'X-Instance-Id': self.server_id, **_echo(request)}
            )
        if request.path == '/report':
            body = json.dumps(
                {
                    **self.entry(),
                    'busy': self.is_busy,
                    'queue_depth': self.slots.waiting,
                    'in_flight': self.slots.running,
                    'kv_used': 0,
                    'kv_total': 90000,
                    'handles': 0,
                }
            )
            return _send(writer, 200, {}, body.encode())
        if request.path == '/order':
            return self._take_order(request, writer)
        model = request.headers.get('x-model', '').partition('/')[0]
        if model and model not in self.models:
            return _send(
                writer, 421, {'X-Instance-Id': self.server_id, **_echo(request)}
            )
        if not await self.slots.enter():
            self.log('declined', server=self.server_id, **_id(request))
            return _send(
                writer,
                503,
                {'X-Not-Executed': '1', **_echo(request), **self._load()},
            )
        try:
            return await self._run(request, reader, writer)
        finally:
            self.slots.leave()

    async def _run(
        self,
        request: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        await asyncio.sleep(self.begin_s)
        if reader.at_eof() or writer.is_closing():
            return b''
        request_id = request.headers.get('x-request-id', '')
        self.runs.append(
            Run(
                request_id,
                self.server_id,
                time.monotonic(),
                request.target,
                request.body,
            )
        )
        self.log(
            'run',
            server=self.server_id,
            **_id(request),
            body_bytes=len(request.body),
        )
        headers = {
            'X-Response-Signature': f'{self.server_id}.{len(self.runs)}',
            'Keep-Alive': f'timeout={IDLE_TIMEOUT_S}',
            **_echo(request),
            **self._load(),
        }
        if self.events:
            return await self._stream(request, headers, writer)
        await asyncio.sleep(self.run_s)
        body = f'{self.service} {self.server_id} {request_id}\n'.encode()
        return _send(writer, 200, headers, body)

    async def _stream(
        self,
        request: wire.Message,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> bytes:
        lines = ['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked']
        lines.append('Content-Type: text/event-stream')
        lines.extend(f'{name}: {text}' for name, text in headers.items())
        parts = ['\r\n'.join((*lines, '', '')).encode()]
        writer.write(parts[0])
        first = int(request.headers.get('last-event-id', '0')) + 1
        last = self.draw_events() if self.draw_events else self.events
        for number in range(first, last + 1):
            event = f'id: {number}\ndata: {self.version}-{number}\n\n'.encode()
            parts.append(b'%x\r\n%s\r\n' % (len(event), event))
            writer.write(parts[-1])
            await writer.drain()
            await asyncio.sleep(self.run_s / self.events)
        parts.append(b'0\r\n\r\n')
        writer.write(parts[-1])
        return b''.join(parts)

    def _take_order(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> bytes:
        order = json.loads(request.body)
        expected = order.get('expected')
        model = order['model']
        is_load = order['operation'] == 'model_load'
        if self.is_busy or expected not in {None, self.seq}:
            status = 409
        elif is_load == (model in self.models):
            status = 200
        else:
            status = 202
        self.orders.append({**order, 'at_s': time.monotonic(), 'is': status})
        self.log(
            'order',
            server=self.server_id,
            status=status,
            holder=order.get('holder'),
            token=order.get('fencing_token'),
            operation=order.get('operation'),
            model=model,
            expected=expected,
        )
        if status == 202:
            self.seq += 1
            self.is_busy = True
            task = asyncio.ensure_future(self._carry_out(model, is_load))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return _send(writer, status, {}, b'{}')

    async def _carry_out(self, model: str, is_load: bool) -> None:
        if is_load:
            await asyncio.sleep(self.load_s)
            self.models.append(model)
        else:
            await self.slots.idle.wait()
            self.models.remove(model)
        self.is_busy = False
        self.register()

    def _load(self) -> dict[str, str]:
        slots = self.slots
        return {
            'X-Server-Load': f'{slots.running},{slots.waiting},{slots.slots}'
        }


def _send(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes = b'',
) -> bytes:
    encoded = wire.encode_response(status, headers, body)
    writer.write(encoded)
    return encoded


def _echo(request: wire.Message) -> dict[str, str]:
    request_id = request.headers.get('x-request-id')
    return {} if request_id is None else {'X-Request-Id': request_id}


def _id(request: wire.Message) -> dict[str, str]:
    return {'request': request.headers.get('x-request-id', '')}
