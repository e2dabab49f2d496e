"""Client of streams, which takes up a stream that has broken off."""

import asyncio
import json

import wire


class Attempt:
    """One client attempt: its status and the events that it brought."""

    def __init__(self):
        self.status = None
        self.events = []
        self.complete = False
        self.retry_after_s = 0.0


async def stream(address, path, headers, attempt):
    """Read one streamed answer into an attempt."""
    host, _, port = address.rpartition(':')
    reader = writer = None
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f'POST {path} HTTP/1.1', 'Content-Length: 4']
        lines.extend(f'{name}: {text}' for name, text in headers.items())
        writer.write('\r\n'.join((*lines, '', '')).encode() + b'text')
        line, answer_headers = await wire.read_head(reader) or ('', {})
        if not line:
            return
        attempt.status = int(line.split(' ')[1])
        attempt.retry_after_s = float(answer_headers.get('retry-after', 0))
        if answer_headers.get('transfer-encoding') != 'chunked':
            await wire.read_body(reader, answer_headers)
            return
        await _read_events(reader, attempt)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return
    finally:
        if writer is not None:
            writer.transport.abort()


async def _read_events(reader, attempt):
    buffered = b''
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        if not size:
            await reader.readline()
            attempt.complete = not buffered
            return
        buffered += await reader.readexactly(size)
        await reader.readexactly(2)
        while b'\n\n' in buffered:
            event, _, buffered = buffered.partition(b'\n\n')
            number, version = None, ''
            for row in event.decode().split('\n'):
                name, _, text = row.partition(': ')
                if name == 'id':
                    number = int(text)
                elif name == 'data':
                    version = text.split(' ')[0]
            attempt.events.append((number, version))


async def resolve(directory):
    """Return the addresses that a directory names, or none."""
    connection = wire.ClientConnection(directory)
    try:
        async with asyncio.timeout(1):
            answer = await connection.ask(
                'GET',
                '/resolve?name=host.example&region=north&zone=a',
                {'Host': 'directory'},
            )
        return json.loads(answer.body)['addresses']
    except (OSError, TimeoutError, ValueError, KeyError):
        return []
    finally:
        connection.close()
