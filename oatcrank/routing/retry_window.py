"""Limit retries over all instances without coordination.

Each instance may spend a ratio of the first sends that it has seen itself and
its share of the common allowance, so the sum over all instances stays within
the limit for any number of instances. A process that has just started may spend
no allowance for one window, since an earlier process of the instance may have
spent it.
"""

import collections
import math

SAFETY_FACTOR = 0.8


class RetryWindow:
    """Count first sends and retries of one service over a sliding window."""

    def __init__(
        self,
        *,
        ratio: float,
        allowance: float,
        window_s: float,
        began_s: float = -math.inf,
    ) -> None:
        """Allow ratio x first sends + a share of the allowance per window.

        began_s is when the process started, in monotonic seconds.
        """
        self._began_s = began_s
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._first_sends: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def set_limits(
        self, *, ratio: float, allowance: float, window_s: float
    ) -> None:
        """Change the limits; past sends and retries still count."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s

    def record_first_send(self, now_s: float) -> None:
        """Count the first send of a request."""
        self._first_sends.append(now_s)
        self._trim(now_s)

    def spend(self, now_s: float, instances: int) -> bool:
        """Spend one retry, or return False if none is left."""
        self._trim(now_s)
        allowance = self._allowance
        if now_s - self._began_s < self._window_s:
            allowance = 0
        allowed = SAFETY_FACTOR * (
            self._ratio * len(self._first_sends) + allowance / max(1, instances)
        )
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now_s)
        return True

    def _trim(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._first_sends, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()
