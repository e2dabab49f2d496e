"""Poll for a condition that has no event to wait for."""

import asyncio
from collections.abc import Callable

POLL_INTERVAL_S = 0.005


async def until(condition: Callable[[], bool]) -> None:
    """Return once the condition holds."""
    while True:
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
