"""Play a case within its time, and end what it started in any case."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Any

TIME_LIMIT_S = 115.0
COULD_NOT_RUN = 2


def play(case: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Return the exit status of a case: 2 if it could not run."""
    try:
        return asyncio.run(_within_limit(case))
    except (RuntimeError, OSError, TimeoutError) as error:
        print(f'could not run: {error!r}')
    except asyncio.CancelledError:
        print('could not run: it was stopped')
    return COULD_NOT_RUN


async def _within_limit(case: Callable[[], Coroutine[Any, Any, int]]) -> int:
    task = asyncio.current_task()
    if task is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(TIME_LIMIT_S):
        return await case()
