"""Costs of accelerators, moves and cold starts, in requests within target."""

from oatcrank import ids
from oatcrank.placing import demand_estimates, placement
from oatcrank.settings import policy_settings

# Cost of an accelerator as a share of the requests per used server.
ACCELERATOR_SHARE = 0.2
MOVE_COST = 0.5
# Time until a placement round reacts to a request.
ROUND_DELAY_S = 0.5
# Cost of a cold start that should still meet the target of its request.
NEARLY_ON_TIME_COST = 0.2


class MoveCosts:
    """One round's costs."""

    def __init__(
        self,
        observation: placement.Observation,
        estimates: demand_estimates.DemandEstimates,
        weights: policy_settings.PolicySettings,
    ) -> None:
        """Derive the cost of an accelerator from its long-term request rate."""
        self._observation = observation
        self._estimates = estimates
        self._model_by_name = {
            model.model: model for model in observation.models
        }
        self.accelerator = (
            weights.accelerator_weight
            * ACCELERATOR_SHARE
            * estimates.requests_per_server()
        )
        self._absence_cost_by_model: dict[ids.ModelName, float] = {}
        self.move = weights.move_weight * MOVE_COST

    def cold_start(self, model: ids.ModelName) -> float:
        """Return how many requests miss their target during a cold start."""
        view = self._model_by_name[model]
        late_s = self._observation.load_s + ROUND_DELAY_S - view.first_token_s
        if late_s <= 0:
            return NEARLY_ON_TIME_COST * view.weight
        session_rate = self._estimates.of(model).session_rate
        return view.weight * (1 + late_s * session_rate)

    def absence_cost_rate(self, model: ids.ModelName) -> float:
        """Return the requests/s that are lost while no replica is loaded."""
        cost_rate = self._absence_cost_by_model.get(model)
        if cost_rate is None:
            hazard = self._estimates.of(model).hazard(self._observation.now_s)
            cost_rate = hazard * (self.cold_start(model) + 2 * self.move)
            self._absence_cost_by_model[model] = cost_rate
        return cost_rate

    def slots_needed(self, model: ids.ModelName) -> float:
        """Return how many slots a model's demand uses."""
        view = self._model_by_name[model]
        return self._estimates.of(model).rate * view.service_s

    def recent_slots_needed(self, model: ids.ModelName) -> float:
        """Return how many slots a model's short-term demand uses."""
        view = self._model_by_name[model]
        return self._estimates.of(model).short_term_rate * view.service_s
