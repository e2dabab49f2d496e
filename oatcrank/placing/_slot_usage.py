"""Estimate how many slots of each server are in use."""

import collections

from oatcrank import ids
from oatcrank.placing import move_costs, move_plan

# Share of a server's slots that the estimated demand may use.
MAX_SLOT_SHARE = 0.75


class SlotUsage:
    """Distribute the slots that each model needs evenly over its replicas."""

    def __init__(
        self, plan: move_plan.MovePlan, costs: move_costs.MoveCosts
    ) -> None:
        """Sum up the slots that all models need."""
        self._plan = plan
        self._costs = costs
        self.slots_by_server: dict[ids.ServerId, float] = (
            collections.defaultdict(float)
        )
        for model, holders in plan.servers_by_model.items():
            for server in holders:
                share = costs.slots_needed(model) / len(holders)
                self.slots_by_server[server] += share

    def admits(self, server: ids.ServerId, slots: float) -> bool:
        """Return whether a server can take demand for so many more slots."""
        max_slots = self._plan.server_by_id[server].slots * MAX_SLOT_SHARE
        return self.slots_by_server[server] + slots <= max_slots

    def add(self, server: ids.ServerId, model: ids.ModelName) -> None:
        """Count the slots of a new replica."""
        replicas = max(1, len(self._plan.servers_by_model[model]))
        self.slots_by_server[server] += (
            self._costs.slots_needed(model) / replicas
        )
