"""Stand-in for a sound worker whose answers are resumable streams."""

import asyncio

import wire
import workers


class StreamWorker(workers.Worker):
    """Send numbered events, at a steady pace, from where the caller asks."""

    event_count = 75
    event_pause_s = 0.14

    async def _answer(self, request):
        identity = {'X-Instance-Id': self.worker_id}
        if request.headers.get('x-expected-instance') != self.worker_id:
            return wire.encode_answer(421, identity)
        request_id = request.headers['x-request-id']
        self.runs.append((request_id, asyncio.get_running_loop().time()))
        last = int(request.headers.get('last-event-id', 0))
        request.writer.write(self._head(request_id))
        for number in range(last + 1, self.event_count + 1):
            event = f'id: {number}\ndata: {self.version} {number}\n\n'.encode()
            request.writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await request.writer.drain()
            if request.writer.is_closing():
                return None
            await asyncio.sleep(self.event_pause_s)
        return b'0\r\n\r\n'

    def _head(self, request_id):
        lines = (
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            f'X-Request-Id: {request_id}',
            f'X-Response-Signature: {self.worker_id}.{request_id}',
            'X-Server-Load: 10,0,64',
            'Keep-Alive: timeout=5',
            f'X-Instance-Id: {self.worker_id}',
            '\r\n',
        )
        return '\r\n'.join(lines).encode()
