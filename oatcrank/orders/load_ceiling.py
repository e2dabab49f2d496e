"""Bound how many loads from the weight store begin in a while."""

import collections

WINDOW_S = 5.0


class LoadCeiling:
    """Count loads, also those that a predecessor may have begun."""

    def __init__(self, loads_per_s: float) -> None:
        """Allow loads_per_s over any five seconds."""
        self._allowed = max(1, int(loads_per_s * WINDOW_S))
        self._begun: collections.deque[float] = collections.deque()

    def has_room(self, now_s: float) -> bool:
        """Tell whether another load may begin."""
        while self._begun and self._begun[0] < now_s - WINDOW_S:
            self._begun.popleft()
        return len(self._begun) < self._allowed

    @property
    def recent(self) -> int:
        """Return how many loads were counted lately."""
        return len(self._begun)

    def note(self, now_s: float) -> None:
        """Count a load that may begin now."""
        self._begun.append(now_s)
