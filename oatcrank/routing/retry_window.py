"""Bound the sends beyond the first of each request, without a coordinator.

Each instance spends a ratio of the first sends that it saw itself and its
part of the common allowance, so the sum holds however many there are.
"""

import collections

MARGIN = 0.8


class RetryWindow:
    """Count first sends and repeats of one service over a sliding window."""

    def __init__(self, *, ratio: float, allowance: float, window_s: float):
        """Allow ratio x first sends + a part of the allowance a window."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._firsts: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def set_limits(
        self, *, ratio: float, allowance: float, window_s: float
    ) -> None:
        """Change the bound; what was counted goes on to count."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s

    def note_first(self, now_s: float) -> None:
        """Count the first send of a request."""
        self._firsts.append(now_s)
        self._trim(now_s)

    def spend(self, now_s: float, instances: int) -> bool:
        """Take one repeat, or return False when none is left."""
        self._trim(now_s)
        allowed = MARGIN * (
            self._ratio * len(self._firsts)
            + self._allowance / max(1, instances)
        )
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_s)
        return True

    def _trim(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._firsts, self._repeats):
            while times and times[0] < oldest_s:
                times.popleft()
