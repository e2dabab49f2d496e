"""Rate limit for loads from the weight store.

Loads of the former lease holder count as well: as many as it has reported, or
as many as it was allowed to start if it can't be asked.
"""

import collections

import msgspec

WINDOW_S = 5.0
# Loads that the store can serve in a window beyond its rate.
EXTRA_LOADS = 3


class _Load(msgspec.Struct, frozen=True):
    started_s: float
    inherited: bool


class StoreLoadLimit:
    """Limit the loads that start within a sliding window."""

    def __init__(self, loads_per_s: float) -> None:
        """Allow loads_per_s in a window, plus EXTRA_LOADS over all holders."""
        self._own_limit = max(1, int(loads_per_s * WINDOW_S))
        self._total_limit = self._own_limit + EXTRA_LOADS
        self._loads: collections.deque[_Load] = collections.deque()

    def allows_load(self, now_s: float) -> bool:
        """Return whether another load may start."""
        self._trim(now_s)
        own = sum(not load.inherited for load in self._loads)
        return own < self._own_limit and len(self._loads) < self._total_limit

    def recent_loads(self, now_s: float) -> int:
        """Return how many loads are in the current window."""
        self._trim(now_s)
        return len(self._loads)

    def record_load(self, now_s: float) -> None:
        """Count a load that starts now."""
        self._loads.append(_Load(now_s, inherited=False))

    def add_inherited(self, loads: int | None, now_s: float) -> None:
        """Count a former holder's loads; None counts its whole limit."""
        count = self._own_limit if loads is None else loads
        self._loads.extend(_Load(now_s, inherited=True) for _ in range(count))

    def _trim(self, now_s: float) -> None:
        while self._loads and self._loads[0].started_s < now_s - WINDOW_S:
            self._loads.popleft()
