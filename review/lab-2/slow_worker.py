"""A worker as a process of its own: slow answers that have no length.

Started with its address and its id; it prints a line for each request. An
answer ends with its connection, as the users' pages allow.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import lab

PIECES = 20
INTERVAL_S = 0.2


def pieces(target: str) -> list[bytes]:
    """Return the pieces of the answer to a request, each sent at once."""
    if target.startswith('/draft/'):
        return [
            b'id: %d\ndata: word%d\n\n' % (number, number)
            for number in range(1, PIECES + 1)
        ]
    return [b'line %04d of %04d\n' % (n, PIECES) for n in range(1, PIECES + 1)]


async def serve(
    worker_id: str,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer one request; the connection ends with the answer."""
    message = await lab.read_message(reader)
    if message is None:
        writer.close()
        return
    target = message.first.split(' ')[1]
    request_id = message.headers.get('x-request-id', '')
    print(f'{worker_id} runs {request_id} {target}', flush=True)
    lines = [
        'HTTP/1.1 200 Told',
        f'X-Request-Id: {request_id}',
        f'X-Response-Signature: {worker_id}.{request_id}',
        'Connection: close',
    ]
    if target.startswith('/draft/'):
        lines.append('Content-Type: text/event-stream')
    writer.write('\r\n'.join((*lines, '', '')).encode())
    for piece in pieces(target):
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(INTERVAL_S)
    writer.close()
    print(f'{worker_id} has answered {request_id}', flush=True)


async def main(host: str, port: int, worker_id: str) -> None:
    """Serve until the process is ended."""
    server = await asyncio.start_server(
        lambda reader, writer: serve(worker_id, reader, writer), host, port
    )
    async with server:
        await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
