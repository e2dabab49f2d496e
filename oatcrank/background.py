"""Keep an instance's background tasks running."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from oatcrank import logs, metrics

RESTART_S = 1.0

Work = Callable[[], Awaitable[None]]


class Background:
    """Run tasks; one that fails is logged and started again."""

    def __init__(self, meter: metrics.Metrics) -> None:
        """Run nothing yet."""
        self._metrics = meter
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, work: Work) -> None:
        """Run work until close, however often it fails."""
        self._tasks.append(asyncio.create_task(self._keep(name, work)))

    async def close(self) -> None:
        """Cancel every task and wait for its end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _keep(self, name: str, work: Work) -> None:
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
                await asyncio.sleep(RESTART_S)
            else:
                return
