"""Estimate each model's demand from the arrivals of each round."""

import math

from oatcrank import ids
from oatcrank.placing import placement

FAST_S = 8.0
SLOW_S = 90.0
SESSION_END_S = 60.0
LONG_RUN_S = 600.0
LEAST_SERVER_S = 60.0
LONGEST_GAP_S = 30.0
GAP_SHARE = 0.15
FIRST_GAP_S = 4.0
FIRST_START_S = 240.0


class DemandEstimate:
    """Keep estimates of a model's requests a second.

    fast and slow are means over seconds and minutes.  Requests come in
    sessions: hazard is the rate at which the next one is expected, given for
    how long none has come.
    """

    def __init__(self, now: float, *, held: bool) -> None:
        """Start as just used if it is held, else as seldom asked for."""
        self.short_term_rate: float = 0
        self.long_term_rate: float = 0
        self._first_s = now
        self._last_s = now if held else -math.inf
        self._gap_s = FIRST_GAP_S
        self._session_starts = 1

    @property
    def rate(self) -> float:
        """Return the requests a second to make room for."""
        return max(self.short_term_rate, self.long_term_rate)

    @property
    def session_rate(self) -> float:
        """Return the requests a second of a session."""
        return 1 / self._gap_s

    def add(self, arrivals: int, now: float, elapsed_s: float) -> None:
        """Take in a round's arrivals."""
        observation = arrivals / elapsed_s
        self.short_term_rate = _blend(
            self.short_term_rate, observation, elapsed_s / FAST_S
        )
        self.long_term_rate = _blend(
            self.long_term_rate, observation, elapsed_s / SLOW_S
        )
        if arrivals:
            self._add_gap(now - self._last_s, arrivals)
            self._last_s = now

    def hazard(self, now: float) -> float:
        """Return the rate at which the next request is expected now."""
        start_rate = self._session_starts / (
            now - self._first_s + FIRST_START_S
        )
        idle_s = now - self._last_s
        leaves = self.session_rate + 1 / SESSION_END_S
        alive = math.exp(-leaves * idle_s)
        ended = (1 - alive) / (leaves * SESSION_END_S)
        in_session = alive / (alive + ended)
        return in_session * self.session_rate + (1 - in_session) * start_rate

    def _add_gap(self, gap_s: float, arrivals: int) -> None:
        if gap_s > LONGEST_GAP_S:
            self._session_starts += 1
            gap_s = FIRST_GAP_S
        share = 1 - (1 - GAP_SHARE) ** arrivals
        self._gap_s += share * (gap_s / arrivals - self._gap_s)


class _ServiceRatio:
    """Keep the long-run ratio of requests to seconds of servers used."""

    def __init__(self) -> None:
        self._requests: float = 0
        self._server_s = LEAST_SERVER_S

    @property
    def ratio(self) -> float:
        return self._requests / self._server_s

    def add(self, observation: placement.Observation) -> None:
        elapsed_s = observation.now_s - observation.since_s
        used = sum(
            view.free_mb < view.memory_mb for view in observation.servers
        )
        kept = math.exp(-elapsed_s / LONG_RUN_S)
        arrivals = sum(model.arrivals for model in observation.models)
        self._requests = self._requests * kept + arrivals
        self._server_s = self._server_s * kept + used * elapsed_s


class DemandEstimates:
    """Keep the demand of every model of a pool."""

    def __init__(self) -> None:
        """Start with no model seen."""
        self._demand_by_model: dict[ids.ModelName, DemandEstimate] = {}
        self._service_ratio = _ServiceRatio()

    def update(self, observation: placement.Observation) -> None:
        """Take in a round, and forget models that are gone."""
        elapsed_s = observation.now_s - observation.since_s
        # A controller that has just begun knows nothing of the models that it
        # finds loaded, and must not take them for idle ones.
        held = {
            model for server in observation.servers for model in server.loaded
        }
        demand_by_model = {}
        for model in observation.models:
            known = self._demand_by_model.get(model.model)
            if known is None:
                known = DemandEstimate(
                    observation.now_s, held=model.model in held
                )
            if elapsed_s > 0:
                known.add(model.arrivals, observation.now_s, elapsed_s)
            demand_by_model[model.model] = known
        self._demand_by_model = demand_by_model
        self._service_ratio.add(observation)

    def of(self, model: ids.ModelName) -> DemandEstimate:
        """Return a model's demand."""
        return self._demand_by_model[model]

    def requests_per_server(self) -> float:
        """Return the requests a second per server used, in the long run."""
        return self._service_ratio.ratio


def _blend(before: float, observation: float, periods: float) -> float:
    kept = math.exp(-periods)
    return before * kept + observation * (1 - kept)
