"""Listen for callers."""

import asyncio
import socket
from collections.abc import Callable

# Connections that wait until they are accepted, and those accepted at once.
BACKLOG = 1024
ACCEPTED_AT_ONCE = 64
# The system keeps so much that has arrived while reading has stopped.
RECEIVE_BUFFER_BYTES = 131_072


async def listen(
    create: Callable[[], asyncio.Protocol], host: str, port: int
) -> asyncio.Server:
    """Accept connections at an address."""
    listening = socket.create_server((host, port), backlog=BACKLOG)
    listening.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    listening.setblocking(False)
    server = await asyncio.get_running_loop().create_server(
        create, sock=listening, backlog=ACCEPTED_AT_ONCE
    )
    # The server has lowered the backlog to the number accepted at once.
    listening.listen(BACKLOG)
    return server
