"""Demand for models and adapters over a sliding window."""

import collections
import math
from collections.abc import Collection, Mapping

import msgspec

from oatcrank import ids
from oatcrank.routing import need

WINDOW_S = 10.0
MIN_SPAN_S = 1.0
# A summary sums up whole seconds and dates each to its middle.
MIDDLE_OF_SECOND_S = 0.5
# The rate averages the last RECENT_S seconds with the mean of the window, which
# counts like MEAN_WEIGHT_S seconds.
RECENT_S = 3.0
MEAN_WEIGHT_S = 2.0
# Demand is rising if the recent requests exceed the previous rate by more than
# this many standard deviations.  It is then extrapolated by the same increase.
SIGNIFICANT_DEVIATIONS = 2.0


class DemandSample(msgspec.Struct, frozen=True):
    """Number of requests with one need, and how long servers ran them.

    busy_s sums the durations of all runs that ended, age_s is the time since
    the last request, and counted_s_ago the time since the sample was taken.
    """

    wanted: need.Need
    count: int = msgspec.field(name='times')
    busy_s: float = 0
    age_s: float = 0
    counted_s_ago: float = 0


class ModelDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Demand for a model, including its adapters.

    rate is in requests per second.  running is the mean number of concurrent
    requests, and adapters the part of it that needs an adapter.  adapter_rate
    is the part of rate that needs one of the distinct_adapters.
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

    def with_running(self, running: int) -> 'ModelDemand':
        """Return this demand with at least a number of running requests.

        Run times are known when the runs end.  Until then the requests that run
        now show how much of the servers a model in rising demand takes.
        """
        return msgspec.structs.replace(self, running=max(self.running, running))


NO_DEMAND = ModelDemand(rate=0)


class _ModelTotals(msgspec.Struct):
    """Totals of one model over the window."""

    requests: int = 0
    recent_requests: int = 0
    busy_s: float = 0
    adapters_s: float = 0
    adapter_requests: int = 0
    distinct_adapters: int = 0

    def add(
        self,
        requests: int,
        busy_s: float,
        adapter: ids.AdapterName | None,
    ) -> None:
        """Add requests for the model or for one of its adapters."""
        self.requests += requests
        self.busy_s += busy_s
        if adapter is not None:
            self.adapters_s += busy_s
            self.adapter_requests += requests
            self.distinct_adapters += 1


class DemandWindow:
    """Sum demand samples over a sliding window."""

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: collections.deque[tuple[float, DemandSample]] = (
            collections.deque()
        )
        self._count_by_need: collections.Counter[need.Need] = (
            collections.Counter()
        )
        self._busy_s_by_need: dict[need.Need, float] = {}
        self._samples_by_need: collections.Counter[need.Need] = (
            collections.Counter()
        )
        self._last_used_s_by_need: dict[need.Need, float] = {}
        self._coverage_start_s = math.inf

    def note(self, sample: DemandSample, now_s: float) -> None:
        """Add a sample of recent requests."""
        wanted = sample.wanted
        self._coverage_start_s = min(self._coverage_start_s, now_s)
        self._insert(now_s - sample.counted_s_ago, sample)
        self._samples_by_need[wanted] += 1
        self._count_by_need[wanted] += sample.count
        self._busy_s_by_need[wanted] = (
            self._busy_s_by_need.get(wanted, 0) + sample.busy_s
        )
        if sample.count:
            self.record_use(wanted, now_s - sample.age_s)
        self._trim(now_s)

    def record_use(self, wanted: need.Need, used_s: float) -> None:
        """Record when a model or adapter was requested."""
        previous_s = self._last_used_s_by_need.get(wanted, -math.inf)
        self._last_used_s_by_need[wanted] = max(previous_s, used_s)

    def coverage_s(self, now_s: float) -> float:
        """Return the time that samples cover, at most the window."""
        return min(WINDOW_S, max(0, now_s - self._coverage_start_s))

    def extend_coverage(self, span_s: float, now_s: float) -> None:
        """Record that the samples cover at least the last span_s seconds."""
        self._coverage_start_s = min(self._coverage_start_s, now_s - span_s)

    def rate(self, wanted: need.Need, now_s: float) -> float:
        """Return the requests per second with exactly this need."""
        self._trim(now_s)
        return self._count_by_need[wanted] / self._span_s(now_s)

    def total_rate(
        self,
        service: ids.ServiceName,
        adapters_by_model: Mapping[
            ids.ModelName,
            Collection[ids.AdapterName],
        ],
        now_s: float,
    ) -> float:
        """Return the requests per second for all the given adapters."""
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

        Recent seconds weigh more, so that changes show early, while rarely
        used models are still estimated from the whole window.
        """
        self._trim(now_s)
        span_s = self._span_s(now_s)
        return {
            model: _model_demand(totals, span_s)
            for model, totals in self._totals_by_model(service, now_s).items()
        }

    def summary(self, now_s: float) -> tuple[DemandSample, ...]:
        """Return the samples of the window, summed up by need and second."""
        self._trim(now_s)
        sample_by_second: dict[tuple[need.Need, int], DemandSample] = {}
        for counted_s, sample in self._samples:
            wanted = sample.wanted
            seconds_ago = int(now_s - counted_s)
            previous = sample_by_second.get(
                (wanted, seconds_ago), DemandSample(wanted, 0)
            )
            sample_by_second[wanted, seconds_ago] = DemandSample(
                wanted,
                sample.count + previous.count,
                sample.busy_s + previous.busy_s,
                now_s - self._last_used_s_by_need.get(wanted, now_s),
                seconds_ago + MIDDLE_OF_SECOND_S,
            )
        return tuple(sample_by_second.values())

    def last_used_s(self, wanted: need.Need) -> float:
        """Return when a need was last requested."""
        return self._last_used_s_by_need.get(wanted, -math.inf)

    def _insert(self, counted_s: float, sample: DemandSample) -> None:
        """Insert a sample in order of time, even if it was reported late."""
        later: list[tuple[float, DemandSample]] = []
        while self._samples and self._samples[-1][0] > counted_s:
            later.append(self._samples.pop())
        self._samples.append((counted_s, sample))
        self._samples.extend(reversed(later))

    def _totals_by_model(
        self,
        service: ids.ServiceName,
        now_s: float,
    ) -> dict[ids.ModelName, _ModelTotals]:
        totals_by_model: dict[ids.ModelName, _ModelTotals] = (
            collections.defaultdict(_ModelTotals)
        )
        for wanted, count in self._count_by_need.items():
            if wanted.service == service and wanted.model is not None:
                totals = totals_by_model[wanted.model]
                totals.add(count, self._busy_s_by_need[wanted], wanted.adapter)
        for counted_s, sample in reversed(self._samples):
            if counted_s < now_s - RECENT_S:
                break
            recent = sample.wanted
            if recent.service == service and recent.model is not None:
                totals_by_model[recent.model].recent_requests += sample.count
        return totals_by_model

    def _span_s(self, now_s: float) -> float:
        return max(MIN_SPAN_S, self.coverage_s(now_s))

    def _trim(self, now_s: float) -> None:
        oldest_s = now_s - WINDOW_S
        while self._samples and self._samples[0][0] < oldest_s:
            _, sample = self._samples.popleft()
            wanted = sample.wanted
            self._count_by_need[wanted] -= sample.count
            self._busy_s_by_need[wanted] -= sample.busy_s
            self._samples_by_need[wanted] -= 1
            if not self._samples_by_need[wanted]:
                del self._samples_by_need[wanted]
                del self._count_by_need[wanted]
                del self._busy_s_by_need[wanted]


def _model_demand(totals: _ModelTotals, span_s: float) -> ModelDemand:
    if not totals.requests:
        return NO_DEMAND
    mean = totals.requests / span_s
    rate = (totals.recent_requests + mean * MEAN_WEIGHT_S) / (
        RECENT_S + MEAN_WEIGHT_S
    )
    rate = max(rate, _rising_rate(totals, span_s))
    return ModelDemand(
        rate=rate,
        # Assumes the mean run time of the window.
        running=rate * totals.busy_s / totals.requests,
        adapters=totals.adapters_s / span_s,
        adapter_rate=rate * totals.adapter_requests / totals.requests,
        distinct_adapters=totals.distinct_adapters,
    )


def _rising_rate(totals: _ModelTotals, span_s: float) -> float:
    """Return the extrapolated rate of rising demand, else 0."""
    previous_s = span_s - RECENT_S
    if previous_s < RECENT_S:
        return 0
    previous_rate = (totals.requests - totals.recent_requests) / previous_s
    expected = previous_rate * RECENT_S
    deviation = math.sqrt(expected + 1)
    if totals.recent_requests <= expected + SIGNIFICANT_DEVIATIONS * deviation:
        return 0
    recent_rate = totals.recent_requests / RECENT_S
    return recent_rate + (recent_rate - previous_rate)
