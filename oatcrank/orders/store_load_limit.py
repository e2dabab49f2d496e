"""Rate limit for loads from the weight store.

A load counts from its decision until one window after the last moment at which
it may have begun.  So no more loads begin in any window than may be counted at
once, however long a load waits for the unloads before it, and whether or not
its server answers the order.

Loads of the former lease holder count as well: as many as it has reported, or
as many as it was allowed to start if it can't be asked.
"""

import math

import msgspec

# Loads that the store can serve in a window beyond its rate.
EXTRA_LOADS = 3
# A server may carry out an order that it left unanswered this much later.
LATE_ORDER_S = 12.0


class Ceiling(msgspec.Struct, frozen=True, kw_only=True):
    """Loads that may begin in a window: rate x window_s x overage and a few."""

    window_s: float = 5.0
    overage: float = 1.1


class StoreLoad(msgspec.Struct, eq=False):
    """One load from the weight store, and by when it has begun if at all."""

    inherited: bool = False
    begun_by_s: float = math.inf

    @property
    def may_have_begun(self) -> bool:
        """Return whether a server may have begun the load."""
        return math.isfinite(self.begun_by_s)

    def record_begin(self, now_s: float) -> None:
        """Record that the load has begun by now."""
        self.begun_by_s = now_s

    def record_unanswered(self, now_s: float) -> None:
        """Record that the server may begin the load some time after now."""
        self.begun_by_s = now_s + LATE_ORDER_S

    def record_not_ordered(self) -> None:
        """Record that the load will not begin."""
        self.begun_by_s = -math.inf


class CountedLoads(msgspec.Struct, frozen=True):
    """How many loads a holder counts; servers may still begin the open ones."""

    total: int
    open: int = 0


NO_LOADS = CountedLoads(0)


class StoreLoadLimit:
    """Limit the loads that begin within a sliding window."""

    def __init__(self, loads_per_s: float, ceiling: Ceiling) -> None:
        """Allow loads_per_s in a window, plus EXTRA_LOADS over all holders."""
        self._loads_per_s = loads_per_s
        self._loads: list[StoreLoad] = []
        self.apply_ceiling(ceiling)

    def apply_ceiling(self, ceiling: Ceiling) -> None:
        """Apply another ceiling to the loads that are decided from now on."""
        # An overage above 1 is a reserve for former holders that can't be
        # asked: they may have left orders that servers carry out late.
        rate = self._loads_per_s * min(1, ceiling.overage)
        self._window_s = ceiling.window_s
        self._own_limit = max(1, int(rate * ceiling.window_s))
        self._total_limit = self._own_limit + EXTRA_LOADS

    def allows_load(self, now_s: float) -> bool:
        """Return whether another load may be decided."""
        self._trim(now_s)
        own = sum(not load.inherited for load in self._loads)
        return own < self._own_limit and len(self._loads) < self._total_limit

    def counted_loads(self, now_s: float) -> CountedLoads:
        """Return how many loads may begin or have begun in the last window."""
        self._trim(now_s)
        return CountedLoads(
            total=len(self._loads),
            open=sum(load.begun_by_s > now_s for load in self._loads),
        )

    def reserve(self) -> StoreLoad:
        """Count a load that has been decided; the caller records its begin."""
        load = StoreLoad()
        self._loads.append(load)
        return load

    def add_inherited(
        self, former: CountedLoads | None, stopped_s: float
    ) -> None:
        """Count the loads of a holder that has stopped; None is its limit."""
        counted = CountedLoads(self._own_limit) if former is None else former
        for number in range(counted.total):
            load = StoreLoad(inherited=True)
            if number < counted.open:
                load.record_unanswered(stopped_s)
            else:
                load.record_begin(stopped_s)
            self._loads.append(load)

    def _trim(self, now_s: float) -> None:
        self._loads = [
            load
            for load in self._loads
            if load.begun_by_s >= now_s - self._window_s
        ]
