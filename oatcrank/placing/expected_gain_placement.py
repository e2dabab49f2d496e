"""Place models by the gain that is expected of a move against its price."""

from oatcrank.placing import (
    _consolidation,
    _loading,
    _pressure,
    _spare,
    _swap,
    _vacating,
    demand_estimates,
    move_costs,
    move_plan,
    placement,
)
from oatcrank.settings import policy_settings


class ExpectedGainPlacement(placement.Placement):
    """Load what gains most per load second, and free idle accelerators."""

    def __init__(self, weights: policy_settings.PolicySettings) -> None:
        """Weigh accelerators and moves by the settings."""
        self._weights = weights
        self._estimates = demand_estimates.DemandEstimates()
        self._consolidation = _consolidation.Consolidation()

    def decide(
        self, observation: placement.Observation
    ) -> tuple[placement.Move, ...]:
        """Return the moves to start now, best first."""
        self._estimates.update(observation)
        plan = move_plan.MovePlan(observation)
        costs = move_costs.MoveCosts(
            observation,
            self._estimates,
            self._weights,
        )
        pressure = _pressure.Pressure(plan, costs)
        spare = _spare.Spare(plan, costs, pressure)
        swap = _swap.Swap(plan, costs, pressure, spare, self._estimates)
        loading = _loading.Loading(plan, costs, spare, swap, self._estimates)
        _unload_drained(plan)
        if self._consolidation.closing:
            spare.closed.add(self._consolidation.closing)
        wanted = loading.load_wanted()
        if loading.opened:
            self._consolidation.stop(observation.now_s)
        if not wanted:
            vacating = _vacating.Vacating(plan, spare, swap)
            self._consolidation.choose(plan, costs, vacating)
            if self._consolidation.closing:
                spare.closed.add(self._consolidation.closing)
            self._consolidation.go_on(plan, costs, vacating)
            loading.load_floor()
        return tuple(plan.moves)


def _unload_drained(plan: move_plan.MovePlan) -> None:
    for view in plan.observation.servers:
        for model in view.draining:
            if plan.can_unload(view.server, model):
                plan.unload(view.server, model)
