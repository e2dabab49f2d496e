"""Count what is asked for, over the last seconds."""

import collections
import math
from collections.abc import Collection, Mapping

import msgspec

from oatcrank import ids
from oatcrank.routing import need

WINDOW_S = 10.0
SHORTEST_AGE_S = 1.0
# What is summed over a second is told as if asked for in the middle of it.
MIDDLE_OF_SECOND_S = 0.5
# The seconds that are counted as they are, and the weight of the window's mean.
RECENT_S = 3.0
MEAN_WEIGHT_S = 2.0
# Demand rises where the last seconds have more than this many standard
# deviations beyond what came before; it is then taken to rise on as much.
SIGNIFICANT_DEVIATIONS = 2.0


class DemandSample(msgspec.Struct, frozen=True):
    """Say how often something was asked for, and how long servers ran it.

    busy_s sums the seconds of all runs that ended, age_s tells how long ago it
    was last asked for, and counted_s_ago when all this was counted.
    """

    wanted: need.Need
    times: int
    busy_s: float = 0
    age_s: float = 0
    counted_s_ago: float = 0


class ModelDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Say how much a model is asked for, its adapters included.

    rate counts requests a second, running those that run at a time, and
    adapters those of them that need an adapter.  Of the requests a second,
    adapter_rate need an adapter, one of so many distinct_adapters.
    """

    rate: float
    running: float = 0
    adapters: float = 0
    adapter_rate: float = 0
    distinct_adapters: int = 0

    def scaled(self, share: float) -> 'ModelDemand':
        """Return a share of this demand."""
        return ModelDemand(
            rate=self.rate * share,
            running=self.running * share,
            adapters=self.adapters * share,
        )


NO_DEMAND = ModelDemand(rate=0)


class _Sum(msgspec.Struct):
    """Sum what was asked of one model in the window."""

    times: int = 0
    recent: int = 0
    busy_s: float = 0
    adapters_s: float = 0
    adapter_times: int = 0
    distinct_adapters: int = 0

    def add(
        self,
        times: int,
        busy_s: float,
        adapter: ids.AdapterName | None,
    ) -> None:
        """Add what was asked of the model, or of an adapter of it."""
        self.times += times
        self.busy_s += busy_s
        if adapter is not None:
            self.adapters_s += busy_s
            self.adapter_times += times
            self.distinct_adapters += 1


class DemandWindow:
    """Sum reports of demand over a sliding window."""

    def __init__(self) -> None:
        """Start with no demand."""
        self._reports: collections.deque[tuple[float, DemandSample]] = (
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

    def note(self, asked: DemandSample, now_s: float) -> None:
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
            self.record_use(wanted, now_s - asked.age_s)
        self._trim(now_s)

    def record_use(self, wanted: need.Need, asked_s: float) -> None:
        """Note when something was asked for."""
        known_s = self._last_s_by_need.get(wanted, -math.inf)
        self._last_s_by_need[wanted] = max(known_s, asked_s)

    def age_s(self, now_s: float) -> float:
        """Return how long demand has been counted, up to the window."""
        return min(WINDOW_S, max(0, now_s - self._first_s))

    def extend_coverage(self, span_s: float, now_s: float) -> None:
        """Note that what was reported covers so much of the past."""
        self._first_s = min(self._first_s, now_s - span_s)

    def rate(self, wanted: need.Need, now_s: float) -> float:
        """Return the requests a second for exactly this."""
        self._trim(now_s)
        return self._times_by_need[wanted] / self._span_s(now_s)

    def total_rate(
        self,
        service: ids.ServiceName,
        adapters_by_model: Mapping[
            ids.ModelName,
            Collection[ids.AdapterName],
        ],
        now_s: float,
    ) -> float:
        """Return the requests a second for all of some adapters."""
        return sum(
            self.rate(need.Need(service, model, adapter), now_s)
            for model, adapters in adapters_by_model.items()
            for adapter in adapters
        )

    def by_model(
        self,
        service: ids.ServiceName,
        now_s: float,
    ) -> dict[ids.ModelName, ModelDemand]:
        """Return the demand for each model of a service.

        The last seconds weigh more, so that rising and falling models are
        seen early, and rare ones are still judged by the whole window.
        """
        self._trim(now_s)
        span_s = self._span_s(now_s)
        return {
            model: _model_demand(one, span_s)
            for model, one in self._sums(service, now_s).items()
        }

    def summary(self, now_s: float) -> tuple[DemandSample, ...]:
        """Return all that was asked for in the window, second by second."""
        self._trim(now_s)
        found: dict[tuple[need.Need, int], DemandSample] = {}
        for noted_s, asked in self._reports:
            wanted = asked.wanted
            seconds_ago = int(now_s - noted_s)
            known = found.get((wanted, seconds_ago), DemandSample(wanted, 0))
            found[wanted, seconds_ago] = DemandSample(
                wanted,
                asked.times + known.times,
                asked.busy_s + known.busy_s,
                now_s - self._last_s_by_need.get(wanted, now_s),
                seconds_ago + MIDDLE_OF_SECOND_S,
            )
        return tuple(found.values())

    def last_used_s(self, wanted: need.Need) -> float:
        """Return when something was last asked for."""
        return self._last_s_by_need.get(wanted, -math.inf)

    def _insert(self, noted_s: float, asked: DemandSample) -> None:
        """Keep reports in the order of their times, also those told late."""
        later: list[tuple[float, DemandSample]] = []
        while self._reports and self._reports[-1][0] > noted_s:
            later.append(self._reports.pop())
        self._reports.append((noted_s, asked))
        self._reports.extend(reversed(later))

    def _sums(
        self,
        service: ids.ServiceName,
        now_s: float,
    ) -> dict[ids.ModelName, _Sum]:
        sums: dict[ids.ModelName, _Sum] = collections.defaultdict(_Sum)
        for wanted, times in self._times_by_need.items():
            if wanted.service == service and wanted.model is not None:
                one = sums[wanted.model]
                one.add(times, self._busy_s_by_need[wanted], wanted.adapter)
        for noted_s, asked in reversed(self._reports):
            if noted_s < now_s - RECENT_S:
                break
            told = asked.wanted
            if told.service == service and told.model is not None:
                sums[told.model].recent += asked.times
        return sums

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


def _model_demand(one: _Sum, span_s: float) -> ModelDemand:
    if not one.times:
        return NO_DEMAND
    mean = one.times / span_s
    rate = (one.recent + mean * MEAN_WEIGHT_S) / (RECENT_S + MEAN_WEIGHT_S)
    rate = max(rate, _rising_rate(one, span_s))
    return ModelDemand(
        rate=rate,
        # For as long as those of the window have run.
        running=rate * one.busy_s / one.times,
        adapters=one.adapters_s / span_s,
        adapter_rate=rate * one.adapter_times / one.times,
        distinct_adapters=one.distinct_adapters,
    )


def _rising_rate(one: _Sum, span_s: float) -> float:
    """Return the rate that demand rises to, or 0 if it doesn't rise."""
    before_s = span_s - RECENT_S
    if before_s < RECENT_S:
        return 0
    before = (one.times - one.recent) / before_s
    expected = before * RECENT_S
    deviation = math.sqrt(expected + 1)
    if one.recent <= expected + SIGNIFICANT_DEVIATIONS * deviation:
        return 0
    recent = one.recent / RECENT_S
    return recent + (recent - before)
