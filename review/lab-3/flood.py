"""Process of a faulty worker, or of the clients that read its answers.

flood.py worker HOST COUNT   listens; writes its ports to standard output
flood.py clients SECONDS PATH ADDRESS...
"""

import asyncio
import sys

import wire

# Chunks of one byte.
BYTES_WITHOUT_END = b'1\r\nx\r\n' * 8192
DEADLINE_S = 4.0


async def send_without_end(reader, writer):
    """Answer each request with bytes without end."""
    try:
        while True:
            head = await wire.read_head(reader)
            if head is None:
                return
            line, headers = head
            await wire.read_body(reader, headers)
            request_id = headers.get('x-request-id')
            if request_id is None:
                writer.write(wire.encode_answer(200, {}))
                continue
            writer.write(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
                b'X-Response-Signature: faulty\r\n'
                + f'X-Request-Id: {request_id}\r\n\r\n'.encode()
            )
            while not writer.is_closing():
                writer.write(BYTES_WITHOUT_END)
                await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        return
    finally:
        writer.close()


async def work(host, count):
    """Listen as so many faulty workers."""
    ports = []
    for _ in range(count):
        server = await asyncio.start_server(send_without_end, host, 0)
        ports.append(server.sockets[0].getsockname()[1])
    print(*ports, flush=True)
    await asyncio.Event().wait()


async def ask(number, address, path, ends_s):
    """Ask again and again, and read for as long as the client waits."""
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(':')
    attempt = 0
    while loop.time() < ends_s:
        attempt += 1
        writer = None
        try:
            async with asyncio.timeout(DEADLINE_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    f'GET {path} HTTP/1.1\r\nHost: host.example\r\n'
                    f'X-Request-Id: f{number:07x}{attempt:08x}\r\n'
                    f'X-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n\r\n'.encode()
                )
                while await reader.read(1 << 20):
                    continue
        except (OSError, TimeoutError):
            pass
        if writer is not None:
            writer.transport.abort()
        await asyncio.sleep(0.1)


async def clients(seconds, path, addresses):
    """Run one client for each address."""
    ends_s = asyncio.get_running_loop().time() + seconds
    await asyncio.gather(
        *(
            ask(number, address, path, ends_s)
            for number, address in enumerate(addresses)
        )
    )


if sys.argv[1] == 'worker':
    asyncio.run(work(sys.argv[2], int(sys.argv[3])))
else:
    asyncio.run(clients(float(sys.argv[2]), sys.argv[3], sys.argv[4:]))
