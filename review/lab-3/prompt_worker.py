"""Stand-in for a model worker that one part of a prompt crashes."""

import asyncio
import itertools

import stream_worker
import wire

FIRST_EVENT_S = 0.12
EVENT_PAUSE_S = 0.03
# Time between the head of an answer and the crash.
HEAD_S = 0.01
EVENT_COUNT = 8
NUMBERS = itertools.count(1)


class PromptWorker(stream_worker.StreamWorker):
    """Answer prompts; crash as an answer to the deadly part begins."""

    deadly_part = ''
    down_s = 3.0

    def __init__(self, store, name, service, record):
        super().__init__(store, f'{name}-{next(NUMBERS)}', service)
        self.name, self.record = name, record
        self.event_count = EVENT_COUNT
        self.event_pause_s = EVENT_PAUSE_S
        self.crashes = 0
        self.is_down = False

    async def start(self, host):
        """Listen on a loopback address, and register."""
        self.host = host
        await super().start(host)

    async def _answer(self, request):
        if request.headers.get('x-expected-instance') != self.worker_id:
            return wire.encode_answer(421, {'X-Instance-Id': self.worker_id})
        await asyncio.sleep(FIRST_EVENT_S)
        if self.is_down:
            return None
        parts = request.headers.get('x-prompt-prefix', '').split(',')[:-1]
        if self.deadly_part in {part.partition(':')[0] for part in parts}:
            request.writer.write(self._head(request.headers['x-request-id']))
            await request.writer.drain()
            await asyncio.sleep(HEAD_S)
            self.crash(self.down_s, 'a prompt with the deadly part')
            return None
        return await super()._answer(request)

    def crash(self, down_s, reason):
        """Reset all connections, and come back under another id."""
        if self.is_down:
            return
        self.is_down = True
        self.crashes += 1
        self.record.write(f'crash {self.worker_id}: {reason}')
        self._server.stop_listening()
        for writer in tuple(self._server.writers):
            writer.transport.abort()
        self._restarting = asyncio.ensure_future(self._restart(down_s))

    async def _restart(self, down_s):
        await asyncio.sleep(down_s)
        self.store.remove(f'servers/{self.worker_id}')
        self.worker_id = f'{self.name}-{next(NUMBERS)}'
        self._server = wire.Server(self._answer)
        self.is_down = False
        await self.start(self.host)
        self.record.write(f'back as {self.worker_id}')
