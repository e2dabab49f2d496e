"""Limit loads from the weight store over all pools."""

from oatcrank import clock, ids
from oatcrank.settings import weight_store_settings

LoadKey = tuple[ids.ServerId, ids.ModelName]
SMOOTHING_FACTOR = 0.2


class LoadBudget:
    """Limit the rate of load starts and the number of loads in flight.

    All controllers of a process share one object.  One lease covers all pools
    of a weight store, so only one such object is in use at a time.  load_s is
    the moving average of load durations in seconds.
    """

    def __init__(
        self,
        limits: weight_store_settings.WeightStoreSettings,
        clock: clock.Clock,
    ) -> None:
        """Allow the first start after one interval."""
        self._concurrent = limits.concurrent_loads
        self._interval_s = 1 / limits.loads_per_s
        self._clock = clock
        self._next_start = clock.now() + self._interval_s
        self._started_at: dict[LoadKey, float | None] = {}
        self.load_s = limits.concurrent_loads / limits.loads_per_s

    def free_slots(self) -> int:
        """Return the number of further loads that may be in flight."""
        return max(0, self._concurrent - len(self._started_at))

    def try_start(self, load: LoadKey) -> bool:
        """Count a load if its order may be sent now; return whether it may."""
        now = self._clock.now()
        if now < self._next_start:
            return False
        if load not in self._started_at and not self.free_slots():
            return False
        self._started_at.setdefault(load, now)
        self._next_start = now + self._interval_s
        return True

    def inherit(self, load: LoadKey) -> None:
        """Count a load that an earlier controller may have started."""
        self._started_at.setdefault(load, None)

    def delay_next_start(self) -> None:
        """Delay the next start, as another process may have started a load."""
        self._next_start = self._clock.now() + self._interval_s

    def is_started(self, load: LoadKey) -> bool:
        """Return whether a load is counted as in flight."""
        return load in self._started_at

    def finish(self, load: LoadKey) -> None:
        """Count a load as ended, if it was in flight."""
        started = self._started_at.pop(load, None)
        if started is not None:
            duration_s = self._clock.now() - started
            self.load_s += SMOOTHING_FACTOR * (duration_s - self.load_s)
