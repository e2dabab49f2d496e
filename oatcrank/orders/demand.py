"""Count what is asked for, over the last seconds."""

import collections

import msgspec

from oatcrank.routing import need

WINDOW_S = 10.0


class Asked(msgspec.Struct, frozen=True):
    """Say how often something was asked for."""

    wanted: need.Need
    times: int


class Demand:
    """Sum reports of demand over a sliding window."""

    def __init__(self) -> None:
        """Start with no demand."""
        self._reports: collections.deque[tuple[float, need.Need, int]] = (
            collections.deque()
        )
        self._by_need: collections.Counter[need.Need] = collections.Counter()
        self._last_s_by_need: dict[need.Need, float] = {}

    def note(self, wanted: need.Need, times: int, now_s: float) -> None:
        """Add requests that were seen lately."""
        self._reports.append((now_s, wanted, times))
        self._by_need[wanted] += times
        self._last_s_by_need[wanted] = now_s
        self._trim(now_s)

    def rate(self, wanted: need.Need, now_s: float) -> float:
        """Return the requests a second for exactly this."""
        self._trim(now_s)
        return self._by_need[wanted] / WINDOW_S

    def model_rate(self, wanted: need.Need, now_s: float) -> float:
        """Return the requests a second for a model and its adapters."""
        self._trim(now_s)
        return (
            sum(
                times
                for asked, times in self._by_need.items()
                if asked.model == wanted.model
                and asked.service == wanted.service
            )
            / WINDOW_S
        )

    def summary(self, now_s: float) -> tuple[Asked, ...]:
        """Return all that was asked for in the window."""
        self._trim(now_s)
        return tuple(
            Asked(wanted, times) for wanted, times in self._by_need.items()
        )

    def last_s(self, wanted: need.Need) -> float:
        """Return when something was last asked for."""
        return self._last_s_by_need.get(wanted, float('-inf'))

    def _trim(self, now_s: float) -> None:
        oldest_s = now_s - WINDOW_S
        while self._reports and self._reports[0][0] < oldest_s:
            _, wanted, times = self._reports.popleft()
            self._by_need[wanted] -= times
            if self._by_need[wanted] <= 0:
                del self._by_need[wanted]
