"""Bound how many loads from the weight store begin in a while.

Counts also the loads that a former holder may have begun: by its word, or as
many as it may have begun where it can't be asked.
"""

import collections

import msgspec

WINDOW_S = 5.0
# What the store bears beyond its rate over a window, in loads.
EXTRA_LOADS = 3


class _Load(msgspec.Struct, frozen=True):
    at_s: float
    inherited: bool


class StoreLoadLimit:
    """Count the loads of the last seconds."""

    def __init__(self, loads_per_s: float) -> None:
        """Allow loads_per_s over any window, and all holders a few more."""
        self._own_limit = max(1, int(loads_per_s * WINDOW_S))
        self._total_limit = self._own_limit + EXTRA_LOADS
        self._loads: collections.deque[_Load] = collections.deque()

    def allows_load(self, now_s: float) -> bool:
        """Tell whether another load may begin."""
        self._trim(now_s)
        own = sum(not one.inherited for one in self._loads)
        return own < self._own_limit and len(self._loads) < self._total_limit

    def recent_loads(self, now_s: float) -> int:
        """Return how many loads count now."""
        self._trim(now_s)
        return len(self._loads)

    def note(self, now_s: float) -> None:
        """Count a load that may begin now."""
        self._loads.append(_Load(now_s, inherited=False))

    def add_inherited(self, loads: int | None, now_s: float) -> None:
        """Count a former holder's loads; None is as many as it might begin."""
        count = self._own_limit if loads is None else loads
        self._loads.extend(_Load(now_s, inherited=True) for _ in range(count))

    def _trim(self, now_s: float) -> None:
        while self._loads and self._loads[0].at_s < now_s - WINDOW_S:
            self._loads.popleft()
