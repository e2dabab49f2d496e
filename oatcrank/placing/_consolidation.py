"""Empty the servers that earn less than an accelerator's price."""

from oatcrank import ids
from oatcrank.placing import _evacuation, move_costs, move_plan

PAUSE_S = 1.0
LONGEST_CLOSING_S = 20.0
MOST_SHARE = 0.6


class Consolidation:
    """Empty one server at a time, over as many rounds as it takes."""

    def __init__(self) -> None:
        """Start with no server being emptied."""
        self.evacuating: ids.ServerId | None = None
        self._since_s = -PAUSE_S

    def stop(self, now: float) -> None:
        """Give up emptying, for a while."""
        self.evacuating = None
        self._since_s = now

    def start_evacuation(
        self,
        plan: move_plan.MovePlan,
        costs: move_costs.MoveCosts,
        evacuation: _evacuation.EvacuationPlanner,
    ) -> None:
        """Begin with the server that loses least by it, if it pays."""
        now = plan.observation.now_s
        if self.evacuating or now < self._since_s + PAUSE_S:
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
                self._since_s = now

    def continue_evacuation(
        self,
        plan: move_plan.MovePlan,
        costs: move_costs.MoveCosts,
        evacuation: _evacuation.EvacuationPlanner,
    ) -> None:
        """Take the next steps, unless by now they lose too much."""
        server = self.evacuating
        if server is None:
            return
        late = plan.observation.now_s > self._since_s + LONGEST_CLOSING_S
        gone = server not in plan.server_by_id or not plan.is_used(server)
        if late or gone:
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
    need = sum(
        costs.recent_slots_needed(model) for model in plan.servers_by_model
    )
    slots = [
        view.slots
        for view in plan.observation.servers
        if plan.is_used(view.server)
    ]
    left = sum(slots) - max(slots, default=0)
    return not left or need <= MOST_SHARE * left
