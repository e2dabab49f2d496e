"""Run background tasks and restart them after failures."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from oatcrank import logs, metrics

RESTART_DELAY_S = 1.0

Work = Callable[[], Awaitable[None]]


class Background:
    """Run tasks; log and restart those that fail."""

    def __init__(self, metrics: metrics.Metrics) -> None:
        """Count failures in the given metrics."""
        self._metrics = metrics
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, work: Work) -> None:
        """Run work until it returns or close is called."""
        self._tasks.append(asyncio.create_task(self._run(name, work)))

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, name: str, work: Work) -> None:
        while True:
            try:
                await work()
            except Exception:
                self._metrics.count('task_failed')
                logs.event(
                    'task_failed',
                    task=name,
                    error=traceback.format_exc(),
                )
                await asyncio.sleep(RESTART_DELAY_S)
            else:
                return
