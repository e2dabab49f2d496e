"""Read and write HTTP/1.1 messages for the stand-ins."""

import asyncio
import dataclasses

MAX_LINE_BYTES = 1_048_576


@dataclasses.dataclass
class Message:
    """A parsed request or response; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b''
    whole: bool = True

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(' ')[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(' ')[1]

    @property
    def path(self) -> str:
        """Return the target of a request without its query."""
        return self.target.partition('?')[0]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(' ')[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None if the connection ends before it."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers.setdefault(name.strip().lower(), text.strip())
    return Message(lines[0], headers)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole request; None if the connection ends before it."""
    message = await read_head(reader)
    if message is None:
        return None
    length = int(message.headers.get('content-length', '0'))
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


async def read_response(reader: asyncio.StreamReader) -> Message | None:
    """Read a response to its end; None if no head arrives."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.headers.get('transfer-encoding') == 'chunked':
            await _read_chunks(reader, message)
        elif 'content-length' in message.headers:
            message.body = await reader.readexactly(
                int(message.headers['content-length'])
            )
        else:
            message.body = await reader.read()
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
        message.whole = False
    except ConnectionError:
        message.whole = False
    return message


async def _read_chunks(reader: asyncio.StreamReader, message: Message) -> None:
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return
        message.body += chunk[:-2]


def encode_response(
    status: int, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Encode a response with a length."""
    lines = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    return '\r\n'.join((*lines, '', '')).encode() + body


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Encode a request with a length."""
    lines = [f'{method} {target} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body
