"""Tell how full the slots of each server are expected to be."""

import collections

from oatcrank import ids
from oatcrank.placing import move_costs, move_plan

MOST_SHARE = 0.75


class SlotUsage:
    """Spread each model's need evenly over its replicas."""

    def __init__(
        self, plan: move_plan.MovePlan, costs: move_costs.MoveCosts
    ) -> None:
        """Add up the needs of all models."""
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
        """Say whether a server can take so many more slots."""
        most = self._plan.server_by_id[server].slots * MOST_SHARE
        return self.slots_by_server[server] + slots <= most

    def add(self, server: ids.ServerId, model: ids.ModelName) -> None:
        """Count a new replica of a model."""
        holders = max(1, len(self._plan.servers_by_model[model]))
        self.slots_by_server[server] += (
            self._costs.slots_needed(model) / holders
        )
