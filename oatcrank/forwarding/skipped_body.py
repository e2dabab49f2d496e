"""Read the rest of an answer that is not used."""

import asyncio

from oatcrank.transport import backend_connection

# The body of a declined request's answer is only read so that the connection
# can be used again.
MAX_SKIP_S = 0.1
MAX_SKIPPED_BYTES = 65536


async def skip(connection: backend_connection.BackendConnection) -> bool:
    """Read the rest of an answer; return whether it ended within limits."""
    skipped = 0
    try:
        async with asyncio.timeout(MAX_SKIP_S):
            event = await connection.next_event()
            while isinstance(event, backend_connection.BodyChunk):
                skipped += len(event.body)
                if skipped > MAX_SKIPPED_BYTES:
                    return False
                event = await connection.next_event()
    except TimeoutError:
        return False
    return True
