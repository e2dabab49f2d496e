"""Estimate each model's demand from the arrivals of each round."""

import math

from oatcrank import ids, placement

FAST_S = 8.0
SLOW_S = 90.0
SESSION_S = 600.0
FIRST_RATE = 0.01


class Demand:
    """Keep a fast and a slow estimate of requests a second."""

    def __init__(self, now: float) -> None:
        """Start with the rate of a model that is seldom asked for."""
        self.fast: float = 0
        self.slow = FIRST_RATE
        self.session = FIRST_RATE
        self.last_s = now

    @property
    def rate(self) -> float:
        """Return the requests a second to make room for."""
        return max(self.fast, self.slow)

    def add(self, arrivals: int, now: float, elapsed_s: float) -> None:
        """Take in a round's arrivals."""
        if arrivals:
            self.last_s = now
        seen = arrivals / elapsed_s
        self.fast = _blend(self.fast, seen, elapsed_s / FAST_S)
        self.slow = _blend(self.slow, seen, elapsed_s / SLOW_S)
        self.session = max(
            self.fast,
            _blend(self.session, self.slow, elapsed_s / SESSION_S),
        )

    def returns(self, horizon_s: float) -> float:
        """Return the probability of a request within seconds."""
        return 1 - math.exp(-self.slow * horizon_s)


class DemandBook:
    """Keep the demand of every model of a pool."""

    def __init__(self) -> None:
        """Start with no model seen."""
        self._demand_by_model: dict[ids.ModelName, Demand] = {}

    def update(self, seen: placement.Observation) -> None:
        """Take in a round, and forget models that are gone."""
        elapsed_s = seen.now_s - seen.since_s
        demand_by_model = {}
        for model in seen.models:
            known = self._demand_by_model.get(model.model)
            if known is None:
                known = Demand(seen.now_s)
            if elapsed_s > 0:
                known.add(model.arrivals, seen.now_s, elapsed_s)
            demand_by_model[model.model] = known
        self._demand_by_model = demand_by_model

    def of(self, model: ids.ModelName) -> Demand:
        """Return a model's demand."""
        return self._demand_by_model[model]

    def total(self) -> float:
        """Return the slow estimate over all models, in requests a second."""
        return sum(known.slow for known in self._demand_by_model.values())


def _blend(before: float, seen: float, periods: float) -> float:
    kept = math.exp(-periods)
    return before * kept + seen * (1 - kept)
