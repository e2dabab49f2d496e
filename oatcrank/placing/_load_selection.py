"""Choose what to load and where, by expected gain and cost."""

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

# Time over which the demand for an absent model counts as gain.
HORIZON_S = 30.0
# Time for which the accelerator of a newly used server is charged.
NEW_SERVER_CHARGE_S = 30.0
# Load slots kept for models without a replica that requests wait for.
RESERVED_LOAD_SLOTS = 1
# Waiting requests per slot from which a loaded model gets another replica.
WAITING_PER_SLOT_LIMIT = 1.0
CANDIDATES_PER_LOAD_SLOT = 2
# Time over which the absence of a model is weighed against the cost of a load.
ABSENCE_HORIZON_S = 10.0
# Servers that are considered for evictions in one round.
MAX_EXAMINED_SERVERS = 64
MIN_ROUND_S = 0.01


class LoadCandidate(msgspec.Struct, frozen=True, kw_only=True):
    """A model that needs one more replica; the gain is in requests."""

    model: ids.ModelName
    gain: float
    absent: bool


class LoadSelector:
    """Load the models with the most gain first.

    The last load slots are reserved for models without a replica that requests
    wait for.
    """

    def __init__(
        self,
        plan: move_plan.MovePlan,
        costs: move_costs.MoveCosts,
        spare_memory: _spare_memory.SpareMemory,
        evictions: _eviction.EvictionPlanner,
        estimates: demand_estimates.DemandEstimates,
    ) -> None:
        """Choose loads within one round's moves."""
        self._plan = plan
        self._costs = costs
        self._spare_memory = spare_memory
        self._evictions = evictions
        self._estimates = estimates
        self.uses_new_server = False
        views = plan.observation.servers
        self._unused = [
            view.server for view in views if not plan.is_used(view.server)
        ]
        self._freeing = [
            view.server for view in views if view.unloading or view.draining
        ]
        self._examined_servers = _examined_servers(plan.observation)

    def load_waiting(self) -> bool:
        """Load models that requests wait for; return whether any needs it."""
        candidates = [
            candidate
            for model in self._plan.observation.models
            if model.waiting and (candidate := self._candidate(model))
        ]
        best = heapq.nsmallest(
            CANDIDATES_PER_LOAD_SLOT * max(1, self._plan.load_slots),
            candidates,
            key=lambda candidate: (not candidate.absent, -candidate.gain),
        )
        for candidate in best:
            if candidate.absent or self._plan.load_slots > RESERVED_LOAD_SLOTS:
                self._load(candidate)
        return bool(candidates)

    def load_absent(self) -> None:
        """Load models without a replica into spare memory of used servers."""
        absent = [
            (self._costs.absence_cost_rate(model), model)
            for model, holders in self._plan.servers_by_model.items()
            if not holders
        ]
        for gain, model in sorted(absent, reverse=True):
            full = self._plan.load_slots <= RESERVED_LOAD_SLOTS
            if full or gain * ABSENCE_HORIZON_S <= 2 * self._costs.move:
                return
            server = self._spare_memory.find(model)
            if server is not None:
                self._spare_memory.load(server, model)

    def _candidate(self, model: placement.ModelView) -> LoadCandidate | None:
        holders = self._plan.servers_by_model[model.model]
        if not holders:
            expected = (
                self._estimates.of(model.model).short_term_rate * HORIZON_S
            )
            return LoadCandidate(
                model=model.model,
                gain=(model.waiting + expected) * model.weight,
                absent=True,
            )
        views = [self._plan.server_by_id[server] for server in holders]
        if any(model.model in view.loading for view in views):
            return None
        if model.waiting < WAITING_PER_SLOT_LIMIT * max(
            view.slots for view in views
        ):
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
            self.uses_new_server = not self._plan.is_used(best.server)
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
        cost = self._costs.accelerator * NEW_SERVER_CHARGE_S
        candidates = (
            server
            for server in self._unused
            if not self._plan.is_used(server)
            and self._plan.can_load(server, model)
        )
        return [
            _eviction.LoadOption(cost=cost, server=server)
            for server in itertools.islice(candidates, 1)
        ]

    def _eviction_options(
        self,
        model: ids.ModelName,
        scope: _eviction.EvictionScope,
    ) -> list[_eviction.LoadOption]:
        return [
            option
            for server in self._examined_servers
            if server not in self._spare_memory.excluded
            and (option := self._evictions.option(server, model, scope=scope))
        ]


def _examined_servers(observation: placement.Observation) -> list[ids.ServerId]:
    # In a large fleet each round examines a different part of the servers for
    # evictions, so that a round's running time does not grow with the fleet.
    servers = [view.server for view in observation.servers]
    if len(servers) <= MAX_EXAMINED_SERVERS:
        return servers
    rounds = round(
        observation.now_s
        / max(observation.now_s - observation.since_s, MIN_ROUND_S)
    )
    start = rounds * MAX_EXAMINED_SERVERS % len(servers)
    return (servers[start:] + servers[:start])[:MAX_EXAMINED_SERVERS]
