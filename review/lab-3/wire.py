"""HTTP/1.1 of the stand-ins: a server and a client connection."""

import asyncio
import dataclasses
import http
import json


@dataclasses.dataclass
class Request:
    """Request as it was read."""

    method: str
    target: str
    headers: dict
    body: bytes
    writer: asyncio.StreamWriter


@dataclasses.dataclass
class Answer:
    """Answer as it was read; complete is false if it broke off."""

    status: int
    headers: dict
    body: bytes
    complete: bool


def encode_answer(status, headers, body=b''):
    """Return an answer with a length."""
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = 'Unknown'
    lines = [f'HTTP/1.1 {status} {phrase}']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


def json_answer(status, message):
    """Return an answer with a JSON body."""
    return encode_answer(
        status,
        {'Content-Type': 'application/json'},
        json.dumps(message).encode(),
    )


async def read_head(reader):
    """Return the first line and the headers, or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        row = await reader.readline()
        if not row.strip():
            return line.decode().strip(), headers
        name, _, text = row.decode('latin-1').partition(':')
        headers[name.strip().lower()] = text.strip()


class Server:
    """Serve requests; connections can be silenced for good."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._silenced = set()
        self.writers = set()
        self.port = 0

    async def start(self, host, port=0):
        """Listen on a loopback address, and register."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self):
        """Accept no more connections."""
        self._server.close()

    def silence_open_connections(self):
        """Answer nothing more on the open connections."""
        self._silenced |= self.writers
        return len(self.writers)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                continue
        except (asyncio.CancelledError, asyncio.IncompleteReadError, OSError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return False
        line, headers = head
        method, target, _ = line.split(' ')
        body = await read_body(reader, headers)
        if headers.get('expect'):
            return False
        answer = await self._handle(
            Request(method, target, headers, body, writer)
        )
        if writer in self._silenced:
            await asyncio.Event().wait()
        if answer is None:
            return False
        writer.write(answer)
        await writer.drain()
        return True


async def read_body(reader, headers):
    """Return a body with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', 0)))
    body = b''
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        if not size:
            while (await reader.readline()).strip():
                continue
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


class ClientConnection:
    """One kept connection of a client."""

    def __init__(self, address):
        host, _, port = address.rpartition(':')
        self._host, self._port = host, int(port)
        self._reader = self._writer = None

    async def ask(self, method, path, headers, body=b''):
        """Return the whole answer; raises OSError if there is none."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port
            )
        lines = [f'{method} {path} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in headers.items())
        if body or method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        self._writer.write('\r\n'.join((*lines, '', '')).encode() + body)
        try:
            return await self._read_answer()
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            self.close()
            raise ConnectionResetError(repr(error)) from error

    async def _read_answer(self):
        head = await read_head(self._reader)
        if head is None:
            raise ConnectionResetError('closed without an answer')
        line, headers = head
        status = int(line.split(' ')[1])
        body = await read_body(self._reader, headers)
        if headers.get('connection', '').lower() == 'close':
            self.close()
        return Answer(status, headers, body, complete=True)

    def close(self):
        """Close it."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
