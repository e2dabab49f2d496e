"""Limit calls to a rate."""

import time


class RateLimit:
    """Allow a rate of calls, in calls a second, and a second's burst."""

    def __init__(self, per_s: float | None) -> None:
        """Allow per_s calls, or any number if None."""
        self._per_s = per_s
        self._left = per_s or 0
        self._filled = time.monotonic()

    def admit(self) -> bool:
        """Count one call unless it is over the rate."""
        if self._per_s is None:
            return True
        now = time.monotonic()
        filled = self._left + (now - self._filled) * self._per_s
        self._left = min(self._per_s, filled)
        self._filled = now
        if self._left < 1:
            return False
        self._left -= 1
        return True
