"""Find spare memory on servers that already hold models."""

import bisect
import collections
import itertools

from oatcrank import ids
from oatcrank.placing import _slot_usage, move_costs, move_plan

MAX_SERVERS_TRIED = 16


class SpareMemory:
    """The used servers, sorted by free memory."""

    def __init__(
        self,
        plan: move_plan.MovePlan,
        costs: move_costs.MoveCosts,
        slot_usage: _slot_usage.SlotUsage,
    ) -> None:
        """Start from the memory that the plan leaves free."""
        self.excluded: set[ids.ServerId] = set()
        self._plan = plan
        self._costs = costs
        self._slot_usage = slot_usage
        self._servers_by_free_mb = sorted(
            (free_mb, server)
            for server, free_mb in plan.free_mb_by_server.items()
            if plan.is_used(server)
        )

    def find(
        self,
        model: ids.ModelName,
        reserved_mb_by_server: collections.Counter[ids.ServerId] | None = None,
    ) -> ids.ServerId | None:
        """Return the server that a model fits best, less reserved memory."""
        needed_mb = self._plan.model_by_name[model].memory_mb
        slots = self._costs.slots_needed(model)
        start = bisect.bisect_left(self._servers_by_free_mb, (needed_mb, ''))
        for free_mb, server in itertools.islice(
            self._servers_by_free_mb,
            start,
            start + MAX_SERVERS_TRIED,
        ):
            reserved_mb = (
                reserved_mb_by_server[server] if reserved_mb_by_server else 0
            )
            if (
                server not in self.excluded
                and free_mb - reserved_mb >= needed_mb
                and self._plan.can_load(server, model)
                and self._slot_usage.admits(server, slots)
            ):
                return server
        return None

    def load(self, server: ids.ServerId, model: ids.ModelName) -> None:
        """Add the load of a model that fits, and update the order."""
        before = (self._plan.free_mb_by_server[server], server)
        if self._plan.is_used(server):
            self._servers_by_free_mb.remove(before)
        self._plan.load(server, model)
        self._slot_usage.add(server, model)
        bisect.insort(
            self._servers_by_free_mb,
            (self._plan.free_mb_by_server[server], server),
        )
