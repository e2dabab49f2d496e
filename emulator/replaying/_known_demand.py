"""Look up the future demand of a trace."""

import bisect
import collections
import itertools

from emulator.replaying import trace
from oatcrank import ids


class KnownDemand:
    """Arrivals of a trace, indexed by model."""

    def __init__(self, recorded_trace: trace.Trace) -> None:
        """Index the arrivals."""
        self._times_by_model: dict[ids.ModelName, list[float]] = (
            collections.defaultdict(list)
        )
        model_by_name = {
            model.name: model for model in recorded_trace.header.models
        }
        work_by_model: dict[ids.ModelName, list[float]] = (
            collections.defaultdict(list)
        )
        for arrival in recorded_trace.arrivals:
            model = model_by_name[arrival.model]
            self._times_by_model[arrival.model].append(arrival.at)
            work_by_model[arrival.model].append(
                arrival.prompt / model.prompt_tokens_per_s
                + arrival.answer / model.answer_tokens_per_s,
            )
        self._cumulative_work_by_model = {
            model: list(itertools.accumulate(work_s, initial=0))
            for model, work_s in work_by_model.items()
        }

    def next_arrival_s(self, model: ids.ModelName, now: float) -> float:
        """Return the time of the next arrival, infinity if there is none."""
        times = self._times_by_model[model]
        index = bisect.bisect_left(times, now)
        return times[index] if index < len(times) else float('inf')

    def arrival_count(
        self, model: ids.ModelName, start: float, end: float
    ) -> int:
        """Return how many requests arrive between two times."""
        times = self._times_by_model[model]
        first = bisect.bisect_left(times, start)
        return bisect.bisect_left(times, end) - first

    def mean_slots(
        self, model: ids.ModelName, start: float, end: float
    ) -> float:
        """Return the mean slots in use by the arrivals between two times."""
        times = self._times_by_model[model]
        if not times:
            return 0
        work_s = self._cumulative_work_by_model[model]
        first = bisect.bisect_left(times, start)
        last = bisect.bisect_left(times, end)
        return (work_s[last] - work_s[first]) / (end - start)
