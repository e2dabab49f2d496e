"""Token bucket that limits the rate of calls."""

import time


class RateLimit:
    """Limit in calls per second, with bursts of one second's calls."""

    def __init__(self, per_s: float | None) -> None:
        """Allow per_s calls, or any number if None."""
        self._per_s = per_s
        self._left = per_s or 0
        self._refilled_at = time.monotonic()

    def admit(self) -> bool:
        """Return whether one more call is within the limit; count it if so."""
        if self._per_s is None:
            return True
        now = time.monotonic()
        filled = self._left + (now - self._refilled_at) * self._per_s
        self._left = min(self._per_s, filled)
        self._refilled_at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True
