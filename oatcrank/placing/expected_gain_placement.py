"""Place models by comparing each move's expected gain with its cost."""

from oatcrank.placing import (
    _consolidation,
    _evacuation,
    _eviction,
    _load_selection,
    _slot_usage,
    _spare_memory,
    demand_estimates,
    move_costs,
    move_plan,
    placement,
)
from oatcrank.settings import policy_settings


class ExpectedGainPlacement(placement.PlacementPolicy):
    """Load the models with the most gain and free idle accelerators."""

    def __init__(self, weights: policy_settings.PolicySettings) -> None:
        """Weight the costs of accelerators and moves by the settings."""
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
        slot_usage = _slot_usage.SlotUsage(plan, costs)
        spare_memory = _spare_memory.SpareMemory(plan, costs, slot_usage)
        evictions = _eviction.EvictionPlanner(
            plan, costs, slot_usage, spare_memory, self._estimates
        )
        load_selector = _load_selection.LoadSelector(
            plan, costs, spare_memory, evictions, self._estimates
        )
        _unload_drained(plan)
        if self._consolidation.evacuating:
            spare_memory.excluded.add(self._consolidation.evacuating)
        wanted = load_selector.load_waiting()
        if load_selector.uses_new_server:
            self._consolidation.stop(observation.now_s)
        if not wanted:
            evacuation = _evacuation.EvacuationPlanner(
                plan, spare_memory, evictions
            )
            self._consolidation.start_evacuation(plan, costs, evacuation)
            if self._consolidation.evacuating:
                spare_memory.excluded.add(self._consolidation.evacuating)
            self._consolidation.continue_evacuation(plan, costs, evacuation)
            load_selector.load_absent()
        return tuple(plan.moves)


def _unload_drained(plan: move_plan.MovePlan) -> None:
    for view in plan.observation.servers:
        for model in view.draining:
            if plan.can_unload(view.server, model):
                plan.unload(view.server, model)
