"""Time transfers that slow each other down."""

import asyncio
import time

STEP_S = 0.02


class Transit:
    """Run transfers at full speed up to a limit, slower beyond it."""

    def __init__(self, limit: int) -> None:
        """Let limit transfers run at full speed."""
        self._limit = limit
        self._running = 0
        self._progress_s: float = 0
        self._progress_at = time.monotonic()

    async def carry(self, seconds: float) -> None:
        """Wait as long as a transfer of that many seconds takes now."""
        self._advance()
        end = self._progress_s + seconds
        self._running += 1
        try:
            await self._reach(end)
        finally:
            self._advance()
            self._running -= 1

    async def _reach(self, end: float) -> None:
        while self._progress_s < end:
            left = (end - self._progress_s) / self._speed()
            await asyncio.sleep(min(STEP_S, left))
            self._advance()

    def _advance(self) -> None:
        now = time.monotonic()
        self._progress_s += (now - self._progress_at) * self._speed()
        self._progress_at = now

    def _speed(self) -> float:
        return min(1, self._limit / max(1, self._running))
