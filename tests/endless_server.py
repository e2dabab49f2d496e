"""Serve answers whose body has no end, each on a connection of its own."""

import asyncio
import contextlib

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
ENDLESS_HEADS = [
    HEAD + b'\r\n',
    HEAD + b'Content-Length: 1000000000\r\n\r\n',
    HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
]
CHUNK = b'10000\r\n' + b'x' * 65536 + b'\r\n'


async def serve_endless(head, reader, writer, sent=None):
    """Send a head, and bytes until the caller closes."""
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head)
        while not writer.transport.is_closing():
            writer.write(CHUNK)
            await writer.drain()
            if sent is not None:
                sent.append(len(CHUNK))
    writer.close()
