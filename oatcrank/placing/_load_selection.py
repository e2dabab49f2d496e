"""Choose what to load and where, by expected gain against price."""

import heapq
import itertools

import msgspec

from oatcrank import ids
from oatcrank.placing import (
    _eviction,
    _spare_memory,
    demand_estimates,
    move_costs,
    move_plan,
    placement,
)

HORIZON_S = 30.0
OPEN_S = 30.0
RESERVED_SLOTS = 1
CROWDED_SHARE = 1.0
TRIED_PER_SLOT = 2
FLOOR_S = 10.0
MOST_LOOKED_AT = 64
SHORTEST_ROUND_S = 0.01


class LoadCandidate(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a model that gains from one more replica, in requests."""

    model: ids.ModelName
    gain: float
    absent: bool


class LoadSelector:
    """Load the best first; the last load slots are kept for the absent."""

    def __init__(
        self,
        plan: move_plan.MovePlan,
        costs: move_costs.MoveCosts,
        spare_memory: _spare_memory.SpareMemory,
        evictions: _eviction.EvictionPlanner,
        estimates: demand_estimates.DemandEstimates,
    ) -> None:
        """Choose within one round's room."""
        self._plan = plan
        self._costs = costs
        self._spare_memory = spare_memory
        self._evictions = evictions
        self._estimates = estimates
        self.opened_server = False
        views = plan.observation.servers
        self._unused = [
            view.server for view in views if not plan.is_used(view.server)
        ]
        self._freeing = [
            view.server for view in views if view.unloading or view.draining
        ]
        self._looked_at = _looked_at(plan.observation)

    def load_waiting(self) -> bool:
        """Load what requests wait for; say whether any was wanted."""
        candidates = [
            candidate
            for model in self._plan.observation.models
            if model.waiting and (candidate := self._candidate(model))
        ]
        best = heapq.nsmallest(
            TRIED_PER_SLOT * max(1, self._plan.load_slots),
            candidates,
            key=lambda candidate: (not candidate.absent, -candidate.gain),
        )
        for candidate in best:
            if candidate.absent or self._plan.load_slots > RESERVED_SLOTS:
                self._load(candidate)
        return bool(candidates)

    def load_absent(self) -> None:
        """Load absent models where used servers have memory to spare."""
        absent = [
            (self._costs.absence_cost_rate(model), model)
            for model, holders in self._plan.servers_by_model.items()
            if not holders
        ]
        for gain, model in sorted(absent, reverse=True):
            full = self._plan.load_slots <= RESERVED_SLOTS
            if full or gain * FLOOR_S <= 2 * self._costs.move:
                return
            server = self._spare_memory.find(model)
            if server is not None:
                self._spare_memory.load(server, model)

    def _candidate(self, model: placement.ModelView) -> LoadCandidate | None:
        holders = self._plan.servers_by_model[model.model]
        if not holders:
            coming = self._estimates.of(model.model).short_term_rate * HORIZON_S
            return LoadCandidate(
                model=model.model,
                gain=(model.waiting + coming) * model.weight,
                absent=True,
            )
        views = [self._plan.server_by_id[server] for server in holders]
        if any(model.model in view.loading for view in views):
            return None
        if model.waiting < CROWDED_SHARE * max(view.slots for view in views):
            return None
        if any(
            self._evictions.slot_usage.admits(server, 0) for server in holders
        ):
            return None
        return LoadCandidate(
            model=model.model,
            gain=model.waiting * model.weight,
            absent=False,
        )

    def _load(self, candidate: LoadCandidate) -> None:
        server = self._spare_memory.find(candidate.model)
        if server is not None:
            self._spare_memory.load(server, candidate.model)
            return
        if self._plan.load_slots < 1 or self._frees_soon(candidate.model):
            return
        best = self._best_option(candidate)
        if best is None or (
            not candidate.absent and best.cost > candidate.gain
        ):
            return
        if best.victims:
            self._spare_memory.excluded.add(best.server)
            self._evictions.carry_out(best)
            return
        if self._plan.can_load(best.server, candidate.model):
            self.opened_server = not self._plan.is_used(best.server)
            self._spare_memory.load(best.server, candidate.model)

    def _best_option(
        self, candidate: LoadCandidate
    ) -> _eviction.LoadOption | None:
        options = self._empty_server_options(candidate.model)
        for scope in _eviction.EvictionScope:
            options.extend(self._eviction_options(candidate.model, scope))
            if options or not candidate.absent:
                break
        return min(options, key=lambda option: option.cost, default=None)

    def _frees_soon(self, model: ids.ModelName) -> bool:
        needed_mb = self._plan.model_by_name[model].memory_mb
        return any(
            self._plan.free_soon_mb(server) >= needed_mb
            for server in self._freeing
        )

    def _empty_server_options(
        self, model: ids.ModelName
    ) -> list[_eviction.LoadOption]:
        cost = self._costs.accelerator * OPEN_S
        fitting = (
            server
            for server in self._unused
            if not self._plan.is_used(server)
            and self._plan.can_load(server, model)
        )
        return [
            _eviction.LoadOption(cost=cost, server=server)
            for server in itertools.islice(fitting, 1)
        ]

    def _eviction_options(
        self,
        model: ids.ModelName,
        scope: _eviction.EvictionScope,
    ) -> list[_eviction.LoadOption]:
        return [
            option
            for server in self._looked_at
            if server not in self._spare_memory.excluded
            and (option := self._evictions.option(server, model, scope=scope))
        ]


def _looked_at(observation: placement.Observation) -> list[ids.ServerId]:
    # In a large fleet each round looks at another part of it for swaps, so
    # that a round's cost does not grow with it.
    servers = [view.server for view in observation.servers]
    if len(servers) <= MOST_LOOKED_AT:
        return servers
    rounds = round(
        observation.now_s
        / max(observation.now_s - observation.since_s, SHORTEST_ROUND_S)
    )
    start = rounds * MOST_LOOKED_AT % len(servers)
    return (servers[start:] + servers[:start])[:MOST_LOOKED_AT]
