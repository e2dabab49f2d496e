"""Count what is asked for, over the last seconds."""

import collections
import math

import msgspec

from oatcrank.routing import need

WINDOW_S = 10.0
SHORTEST_AGE_S = 1.0
# The seconds that are counted as they are, and the weight of the window's mean.
RECENT_S = 3.0
MEAN_WEIGHT_S = 2.0


class Asked(msgspec.Struct, frozen=True):
    """Say how often something was asked for, and how long servers ran it.

    busy_s sums the seconds of all runs that ended, age_s tells how long ago it
    was last asked for, and counted_s_ago when all this was counted.
    """

    wanted: need.Need
    times: int
    busy_s: float = 0
    age_s: float = 0
    counted_s_ago: float = 0


class Demand:
    """Sum reports of demand over a sliding window."""

    def __init__(self) -> None:
        """Start with no demand."""
        self._reports: collections.deque[tuple[float, Asked]] = (
            collections.deque()
        )
        self._times_by_need: collections.Counter[need.Need] = (
            collections.Counter()
        )
        self._busy_s_by_need: dict[need.Need, float] = {}
        self._reports_by_need: collections.Counter[need.Need] = (
            collections.Counter()
        )
        self._last_s_by_need: dict[need.Need, float] = {}
        self._first_s = math.inf

    def note(self, asked: Asked, now_s: float) -> None:
        """Add requests that were seen lately."""
        wanted = asked.wanted
        self._first_s = min(self._first_s, now_s)
        self._insert(now_s - asked.counted_s_ago, asked)
        self._reports_by_need[wanted] += 1
        self._times_by_need[wanted] += asked.times
        self._busy_s_by_need[wanted] = (
            self._busy_s_by_need.get(wanted, 0) + asked.busy_s
        )
        if asked.times:
            self.note_use(wanted, now_s - asked.age_s)
        self._trim(now_s)

    def note_use(self, wanted: need.Need, asked_s: float) -> None:
        """Note when something was asked for."""
        known_s = self._last_s_by_need.get(wanted, -math.inf)
        self._last_s_by_need[wanted] = max(known_s, asked_s)

    def age_s(self, now_s: float) -> float:
        """Return how long demand has been counted, up to the window."""
        return min(WINDOW_S, max(0, now_s - self._first_s))

    def reaches_back(self, span_s: float, now_s: float) -> None:
        """Note that what was reported covers so much of the past."""
        self._first_s = min(self._first_s, now_s - span_s)

    def rate(self, wanted: need.Need, now_s: float) -> float:
        """Return the requests a second for exactly this."""
        self._trim(now_s)
        return self._times_by_need[wanted] / self._span_s(now_s)

    def model_rate(self, wanted: need.Need, now_s: float) -> float:
        """Return the requests a second for a model and its adapters.

        The last seconds weigh more, so that rising and falling models are
        seen early, and rare ones are still judged by the whole window.
        """
        self._trim(now_s)
        times = sum(
            times
            for asked, times in self._times_by_need.items()
            if _same_model(asked, wanted)
        )
        mean = times / self._span_s(now_s)
        recent = self._recent_times(wanted, now_s)
        return (recent + mean * MEAN_WEIGHT_S) / (RECENT_S + MEAN_WEIGHT_S)

    def running(self, wanted: need.Need, now_s: float) -> float:
        """Return how many requests for a model run at a time.

        That is how many are asked for a second now, for as long as those of
        the window have run.
        """
        self._trim(now_s)
        busy_s = float(0)
        times = 0
        for asked, counted in self._times_by_need.items():
            if _same_model(asked, wanted):
                times += counted
                busy_s += self._busy_s_by_need[asked]
        if not times:
            return 0
        return self.model_rate(wanted, now_s) * busy_s / times

    def running_adapters(self, wanted: need.Need, now_s: float) -> float:
        """Return how many of those need an adapter of the model."""
        self._trim(now_s)
        return sum(
            busy_s
            for asked, busy_s in self._busy_s_by_need.items()
            if asked.adapter and _same_model(asked, wanted)
        ) / self._span_s(now_s)

    def summary(self, now_s: float) -> tuple[Asked, ...]:
        """Return all that was asked for in the window, second by second."""
        self._trim(now_s)
        found: dict[tuple[need.Need, int], Asked] = {}
        for noted_s, asked in self._reports:
            seconds_ago = int(now_s - noted_s)
            key = (asked.wanted, seconds_ago)
            known = found.get(key)
            found[key] = Asked(
                asked.wanted,
                asked.times + (known.times if known else 0),
                asked.busy_s + (known.busy_s if known else 0),
                now_s - self._last_s_by_need.get(asked.wanted, now_s),
                seconds_ago,
            )
        return tuple(found.values())

    def last_s(self, wanted: need.Need) -> float:
        """Return when something was last asked for."""
        return self._last_s_by_need.get(wanted, -math.inf)

    def _insert(self, noted_s: float, asked: Asked) -> None:
        """Keep reports in the order of their times, also those told late."""
        later: list[tuple[float, Asked]] = []
        while self._reports and self._reports[-1][0] > noted_s:
            later.append(self._reports.pop())
        self._reports.append((noted_s, asked))
        self._reports.extend(reversed(later))

    def _recent_times(self, wanted: need.Need, now_s: float) -> int:
        times = 0
        for noted_s, asked in reversed(self._reports):
            if noted_s < now_s - RECENT_S:
                break
            if _same_model(asked.wanted, wanted):
                times += asked.times
        return times

    def _span_s(self, now_s: float) -> float:
        return max(SHORTEST_AGE_S, self.age_s(now_s))

    def _trim(self, now_s: float) -> None:
        oldest_s = now_s - WINDOW_S
        while self._reports and self._reports[0][0] < oldest_s:
            _, asked = self._reports.popleft()
            wanted = asked.wanted
            self._times_by_need[wanted] -= asked.times
            self._busy_s_by_need[wanted] -= asked.busy_s
            self._reports_by_need[wanted] -= 1
            if not self._reports_by_need[wanted]:
                del self._reports_by_need[wanted]
                del self._times_by_need[wanted]
                del self._busy_s_by_need[wanted]


def _same_model(asked: need.Need, wanted: need.Need) -> bool:
    return (asked.model, asked.service) == (wanted.model, wanted.service)
