"""Estimate each model's demand from the requests that arrive in each round."""

import math

from oatcrank import ids
from oatcrank.placing import placement

# Time constants of the mean rates.
SHORT_TERM_S = 8.0
LONG_TERM_S = 90.0
MEAN_SESSION_S = 60.0
# Time constant of the requests per second and used server.
RATIO_DECAY_S = 600.0
# Server time without requests that is assumed before the first round.
INITIAL_SERVER_S = 60.0
# A longer gap between requests starts a new session.
MAX_SESSION_GAP_S = 30.0
# Weight of a new gap in the mean gap within a session.
GAP_WEIGHT = 0.15
INITIAL_GAP_S = 4.0
# Time between session starts that is assumed for a model without history.
INITIAL_START_INTERVAL_S = 240.0


class DemandEstimate:
    """Estimates of a model's requests per second.

    The short-term and long-term rates are means over seconds and minutes.
    Requests arrive in sessions: the hazard is the rate at which the next
    request is expected, given the time since the last one.
    """

    def __init__(self, now_s: float, *, held: bool) -> None:
        """Assume that a held model was just used, and any other rarely."""
        self.short_term_rate: float = 0
        self.long_term_rate: float = 0
        self._first_s = now_s
        self._last_s = now_s if held else -math.inf
        self._gap_s = INITIAL_GAP_S
        self._session_starts = 1

    @property
    def rate(self) -> float:
        """Return the requests per second to provide capacity for."""
        return max(self.short_term_rate, self.long_term_rate)

    @property
    def session_rate(self) -> float:
        """Return the requests per second within a session."""
        return 1 / self._gap_s

    def add(self, arrivals: int, now_s: float, elapsed_s: float) -> None:
        """Update the estimates with a round's arrivals."""
        observed_rate = arrivals / elapsed_s
        self.short_term_rate = _decayed_mean(
            self.short_term_rate, observed_rate, elapsed_s / SHORT_TERM_S
        )
        self.long_term_rate = _decayed_mean(
            self.long_term_rate, observed_rate, elapsed_s / LONG_TERM_S
        )
        if arrivals:
            self._add_gap(now_s - self._last_s, arrivals)
            self._last_s = now_s

    def hazard(self, now_s: float) -> float:
        """Return the rate at which the next request is expected now."""
        start_rate = self._session_starts / (
            now_s - self._first_s + INITIAL_START_INTERVAL_S
        )
        idle_s = now_s - self._last_s
        decay_rate = self.session_rate + 1 / MEAN_SESSION_S
        alive = math.exp(-decay_rate * idle_s)
        ended = (1 - alive) / (decay_rate * MEAN_SESSION_S)
        in_session = alive / (alive + ended)
        return in_session * self.session_rate + (1 - in_session) * start_rate

    def _add_gap(self, gap_s: float, arrivals: int) -> None:
        if gap_s > MAX_SESSION_GAP_S:
            self._session_starts += 1
            gap_s = INITIAL_GAP_S
        share = 1 - (1 - GAP_WEIGHT) ** arrivals
        self._gap_s += share * (gap_s / arrivals - self._gap_s)


class _ServiceRatio:
    """Long-term ratio of requests to server seconds in use."""

    def __init__(self) -> None:
        self._requests: float = 0
        self._server_s = INITIAL_SERVER_S

    @property
    def ratio(self) -> float:
        return self._requests / self._server_s

    def add(self, observation: placement.Observation) -> None:
        elapsed_s = observation.now_s - observation.since_s
        used = sum(
            view.free_mb < view.memory_mb for view in observation.servers
        )
        kept = math.exp(-elapsed_s / RATIO_DECAY_S)
        arrivals = sum(model.arrivals for model in observation.models)
        self._requests = self._requests * kept + arrivals
        self._server_s = self._server_s * kept + used * elapsed_s


class DemandEstimates:
    """Demand estimates of all models of a pool."""

    def __init__(self) -> None:
        """Start without estimates."""
        self._estimate_by_model: dict[ids.ModelName, DemandEstimate] = {}
        self._service_ratio = _ServiceRatio()

    def update(self, observation: placement.Observation) -> None:
        """Update the estimates with a round; drop those of removed models."""
        elapsed_s = observation.now_s - observation.since_s
        # A newly started controller has no history of the models that are
        # already loaded, and must not treat them as idle.
        held = {
            model for server in observation.servers for model in server.loaded
        }
        estimate_by_model = {}
        for model in observation.models:
            estimate = self._estimate_by_model.get(model.model)
            if estimate is None:
                estimate = DemandEstimate(
                    observation.now_s, held=model.model in held
                )
            if elapsed_s > 0:
                estimate.add(model.arrivals, observation.now_s, elapsed_s)
            estimate_by_model[model.model] = estimate
        self._estimate_by_model = estimate_by_model
        self._service_ratio.add(observation)

    def of(self, model: ids.ModelName) -> DemandEstimate:
        """Return a model's estimate."""
        return self._estimate_by_model[model]

    def requests_per_server(self) -> float:
        """Return the long-term requests per second and used server."""
        return self._service_ratio.ratio


def _decayed_mean(mean: float, new_value: float, periods: float) -> float:
    kept = math.exp(-periods)
    return mean * kept + new_value * (1 - kept)
