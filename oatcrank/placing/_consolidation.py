"""Evacuate servers whose replicas are worth less than an accelerator costs."""

from oatcrank import ids
from oatcrank.placing import _evacuation, move_costs, move_plan

# Time after the start or end of an evacuation before the next one starts.
RETRY_PAUSE_S = 1.0
MAX_EVACUATION_S = 20.0
# Share of the remaining servers' slots that recent demand may need.
MAX_SLOT_SHARE = 0.6


class Consolidation:
    """Evacuate one server at a time, over several rounds."""

    def __init__(self) -> None:
        """Start with no server under evacuation."""
        self.evacuating: ids.ServerId | None = None
        self._since_s = -RETRY_PAUSE_S

    def stop(self, now_s: float) -> None:
        """Abort the evacuation; a new one may start after a pause."""
        self.evacuating = None
        self._since_s = now_s

    def start_evacuation(
        self,
        plan: move_plan.MovePlan,
        costs: move_costs.MoveCosts,
        evacuation: _evacuation.EvacuationPlanner,
    ) -> None:
        """Start to evacuate the server with the least loss, if worthwhile."""
        now_s = plan.observation.now_s
        if self.evacuating or now_s < self._since_s + RETRY_PAUSE_S:
            return
        if not _enough_slots(plan, costs):
            return
        max_loss = costs.accelerator
        for view in plan.observation.servers:
            if view.loading or not plan.is_used(view.server):
                continue
            steps = evacuation.steps(view.server, max_loss=max_loss)
            if steps is not None:
                max_loss = sum(step.loss for step in steps)
                self.evacuating = view.server
                self._since_s = now_s

    def continue_evacuation(
        self,
        plan: move_plan.MovePlan,
        costs: move_costs.MoveCosts,
        evacuation: _evacuation.EvacuationPlanner,
    ) -> None:
        """Add the next steps, or abort when they now lose too much."""
        server = self.evacuating
        if server is None:
            return
        overdue = plan.observation.now_s > self._since_s + MAX_EVACUATION_S
        gone = server not in plan.server_by_id or not plan.is_used(server)
        if overdue or gone:
            self.stop(plan.observation.now_s)
            return
        steps = evacuation.steps(server, max_loss=costs.accelerator)
        if steps is None:
            self.stop(plan.observation.now_s)
            return
        for step in steps:
            evacuation.carry_out(server, step)


def _enough_slots(
    plan: move_plan.MovePlan, costs: move_costs.MoveCosts
) -> bool:
    slots_needed = sum(
        costs.recent_slots_needed(model) for model in plan.servers_by_model
    )
    slots = [
        view.slots
        for view in plan.observation.servers
        if plan.is_used(view.server)
    ]
    remaining_slots = sum(slots) - max(slots, default=0)
    return (
        not remaining_slots or slots_needed <= MAX_SLOT_SHARE * remaining_slots
    )
