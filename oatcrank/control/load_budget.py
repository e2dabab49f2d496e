"""Keep within what the weight store gives, over all pools."""

from oatcrank import clock, ids
from oatcrank.settings import weight_store_settings

LoadKey = tuple[ids.ServerId, ids.ModelName]
NEW_SHARE = 0.2


class LoadBudget:
    """Space out the starts of loads and bound those in flight.

    One object is shared by all pools' controllers of one process; the one
    lease for all pools on a store makes it the only one in use.  load_s is the
    usual duration of a load in seconds.
    """

    def __init__(
        self,
        limits: weight_store_settings.WeightStoreSettings,
        time_source: clock.Clock,
    ) -> None:
        """Allow the first start one whole interval from now."""
        self._concurrent = limits.concurrent_loads
        self._interval_s = 1 / limits.loads_per_s
        self._clock = time_source
        self._next_start = time_source.now() + self._interval_s
        self._started: dict[LoadKey, float | None] = {}
        self.load_s = limits.concurrent_loads / limits.loads_per_s

    def slots(self) -> int:
        """Return how many more loads may be in flight."""
        return max(0, self._concurrent - len(self._started))

    def start(self, load: LoadKey) -> bool:
        """Take the right to send a load order now, first time or again."""
        now = self._clock.now()
        if now < self._next_start:
            return False
        if load not in self._started and not self.slots():
            return False
        self._started.setdefault(load, now)
        self._next_start = now + self._interval_s
        return True

    def inherit(self, load: LoadKey) -> None:
        """Count a load that an earlier controller may have started."""
        self._started.setdefault(load, None)

    def pause(self) -> None:
        """Wait one interval, as another process may have started a load."""
        self._next_start = self._clock.now() + self._interval_s

    def is_started(self, load: LoadKey) -> bool:
        """Return whether a load is counted as in flight."""
        return load in self._started

    def finish(self, load: LoadKey) -> None:
        """Count a load as ended, if it was in flight."""
        started = self._started.pop(load, None)
        if started is not None:
            took_s = self._clock.now() - started
            self.load_s += NEW_SHARE * (took_s - self.load_s)
