"""Empty the servers that earn less than an accelerator's price."""

from oatcrank import ids
from oatcrank.placing import _vacating, move_costs, move_plan

PAUSE_S = 1.0
LONGEST_CLOSING_S = 20.0
MOST_SHARE = 0.6


class Consolidation:
    """Empty one server at a time, over as many rounds as it takes."""

    def __init__(self) -> None:
        """Start with no server being emptied."""
        self.closing: ids.ServerId | None = None
        self._since_s = -PAUSE_S

    def stop(self, now: float) -> None:
        """Give up emptying, for a while."""
        self.closing = None
        self._since_s = now

    def choose(
        self,
        plan: move_plan.MovePlan,
        costs: move_costs.MoveCosts,
        vacating: _vacating.Vacating,
    ) -> None:
        """Begin with the server that loses least by it, if it pays."""
        now = plan.observation.now_s
        if self.closing or now < self._since_s + PAUSE_S:
            return
        if not _enough_slots(plan, costs):
            return
        most = costs.accelerator
        for view in plan.observation.servers:
            if view.loading or not plan.is_used(view.server):
                continue
            steps = vacating.steps(view.server, most=most)
            if steps is not None:
                most = sum(step.loss for step in steps)
                self.closing = view.server
                self._since_s = now

    def go_on(
        self,
        plan: move_plan.MovePlan,
        costs: move_costs.MoveCosts,
        vacating: _vacating.Vacating,
    ) -> None:
        """Take the next steps, unless by now they lose too much."""
        server = self.closing
        if server is None:
            return
        late = plan.observation.now_s > self._since_s + LONGEST_CLOSING_S
        gone = server not in plan.server_by_id or not plan.is_used(server)
        if late or gone:
            self.stop(plan.observation.now_s)
            return
        steps = vacating.steps(server, most=costs.accelerator)
        if steps is None:
            self.stop(plan.observation.now_s)
            return
        for step in steps:
            vacating.carry_out(server, step)


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
