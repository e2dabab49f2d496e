"""Simulate transfers that share a link."""

import asyncio
import time

UPDATE_INTERVAL_S = 0.02


class SharedLink:
    """Link that slows all transfers down when more than a limit run."""

    def __init__(self, limit: int) -> None:
        """Set how many transfers can run at full speed."""
        self._limit = limit
        self._running = 0
        self._progress_s: float = 0
        self._progress_at = time.monotonic()

    async def transfer(self, seconds: float) -> None:
        """Wait for a transfer that takes `seconds` at full speed."""
        self._advance()
        end = self._progress_s + seconds
        self._running += 1
        try:
            await self._wait_for_progress(end)
        finally:
            self._advance()
            self._running -= 1

    async def _wait_for_progress(self, end: float) -> None:
        while self._progress_s < end:
            remaining_s = (end - self._progress_s) / self._speed()
            await asyncio.sleep(min(UPDATE_INTERVAL_S, remaining_s))
            self._advance()

    def _advance(self) -> None:
        now = time.monotonic()
        self._progress_s += (now - self._progress_at) * self._speed()
        self._progress_at = now

    def _speed(self) -> float:
        return min(1, self._limit / max(1, self._running))
