"""Find spare memory on the servers that are in use anyway."""

import bisect
import collections
import itertools

from oatcrank import ids
from oatcrank.placing import _slot_usage, move_costs, move_plan

MOST_TRIED = 16


class SpareMemory:
    """Keep the used servers in order of their free memory."""

    def __init__(
        self,
        plan: move_plan.MovePlan,
        costs: move_costs.MoveCosts,
        slot_usage: _slot_usage.SlotUsage,
    ) -> None:
        """Start from what the room leaves free."""
        self.excluded: set[ids.ServerId] = set()
        self._plan = plan
        self._costs = costs
        self._slot_usage = slot_usage
        self._by_free = sorted(
            (free_mb, server)
            for server, free_mb in plan.free_mb_by_server.items()
            if plan.is_used(server)
        )

    def find(
        self,
        model: ids.ModelName,
        taken: collections.Counter[ids.ServerId] | None = None,
    ) -> ids.ServerId | None:
        """Return the server that a model fits best, less what is taken."""
        wanted_mb = self._plan.model_by_name[model].memory_mb
        need = self._costs.slots_needed(model)
        start = bisect.bisect_left(self._by_free, (wanted_mb, ''))
        for free_mb, server in itertools.islice(
            self._by_free,
            start,
            start + MOST_TRIED,
        ):
            taken_mb = taken[server] if taken else 0
            if (
                server not in self.excluded
                and free_mb - taken_mb >= wanted_mb
                and self._plan.can_load(server, model)
                and self._slot_usage.admits(server, need)
            ):
                return server
        return None

    def load(self, server: ids.ServerId, model: ids.ModelName) -> None:
        """Load a model that fits, and keep the order."""
        before = (self._plan.free_mb_by_server[server], server)
        if self._plan.is_used(server):
            self._by_free.remove(before)
        self._plan.load(server, model)
        self._slot_usage.add(server, model)
        bisect.insort(
            self._by_free,
            (self._plan.free_mb_by_server[server], server),
        )
