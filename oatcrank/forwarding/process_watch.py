"""Watch whether the process of a backend server goes on running."""

import asyncio
import enum
from collections.abc import Callable

from oatcrank.routing import server
from oatcrank.transport import backend_connection, errors

CONNECT_TIMEOUT_S = 0.5
# Pause before a second connection; it doubles with each further one.
FIRST_PAUSE_S = 0.05


class ProcessState(enum.Enum):
    """What a connection to a server says of its process."""

    runs = 'the server runs'
    ended = 'no process listens'
    unreached = 'nothing is known of the process'


async def probe(target: server.Server) -> ProcessState:
    """Return what becomes of a new connection to a server."""
    return await watch(target, lambda: float(0))


async def watch(
    target: server.Server, ends_s: Callable[[], float]
) -> ProcessState:
    """Keep a connection to a server open until a time of the event loop.

    A process that ends may accept connections for a while, but breaks them in
    the end.  A connection that breaks is followed by another one.
    """
    pause_s = FIRST_PAUSE_S
    while True:
        try:
            connection = await backend_connection.connect(
                target.registration.host,
                target.registration.port,
                CONNECT_TIMEOUT_S,
            )
        except errors.ConnectionRefused:
            return ProcessState.ended
        except errors.ConnectFailed:
            return ProcessState.unreached
        if not await _is_lost(connection, ends_s):
            return ProcessState.runs
        await asyncio.sleep(pause_s)
        pause_s *= 2


async def _is_lost(
    connection: backend_connection.BackendConnection,
    ends_s: Callable[[], float],
) -> bool:
    """Return whether a connection is lost before a time."""
    loop = asyncio.get_running_loop()
    losing = asyncio.ensure_future(connection.next_event())
    try:
        while not losing.done() and loop.time() < ends_s():
            await asyncio.wait((losing,), timeout=ends_s() - loop.time())
        return losing.done()
    finally:
        losing.cancel()
        connection.close()
