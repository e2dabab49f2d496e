"""Choose what to load and where, by expected gain against price."""

import heapq
import itertools

import msgspec

from oatcrank import ids
from oatcrank.placing import (
    _spare,
    _swap,
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


class Want(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a model that gains from one more replica, in requests."""

    model: ids.ModelName
    gain: float
    absent: bool


class Loading:
    """Load the best first; the last load slots are kept for the absent."""

    def __init__(
        self,
        plan: move_plan.MovePlan,
        costs: move_costs.MoveCosts,
        spare: _spare.Spare,
        swap: _swap.Swap,
        estimates: demand_estimates.DemandEstimates,
    ) -> None:
        """Choose within one round's room."""
        self._plan = plan
        self._costs = costs
        self._spare = spare
        self._swap = swap
        self._estimates = estimates
        self.opened = False
        views = plan.observation.servers
        self._unused = [
            view.server for view in views if not plan.is_used(view.server)
        ]
        self._freeing = [
            view.server for view in views if view.unloading or view.draining
        ]
        self._looked_at = _looked_at(plan.observation)

    def load_wanted(self) -> bool:
        """Load what requests wait for; say whether any was wanted."""
        wants = [
            want
            for model in self._plan.observation.models
            if model.waiting and (want := self._want(model))
        ]
        best = heapq.nsmallest(
            TRIED_PER_SLOT * max(1, self._plan.load_slots),
            wants,
            key=lambda want: (not want.absent, -want.gain),
        )
        for want in best:
            if want.absent or self._plan.load_slots > RESERVED_SLOTS:
                self._load(want)
        return bool(wants)

    def load_floor(self) -> None:
        """Load absent models where used servers have memory to spare."""
        absent = [
            (self._costs.absence_cost_rate(model), model)
            for model, homes in self._plan.servers_by_model.items()
            if not homes
        ]
        for gain, model in sorted(absent, reverse=True):
            full = self._plan.load_slots <= RESERVED_SLOTS
            if full or gain * FLOOR_S <= 2 * self._costs.move:
                return
            server = self._spare.find(model)
            if server is not None:
                self._spare.load(server, model)

    def _want(self, model: placement.ModelView) -> Want | None:
        homes = self._plan.servers_by_model[model.model]
        if not homes:
            coming = self._estimates.of(model.model).short_term_rate * HORIZON_S
            return Want(
                model=model.model,
                gain=(model.waiting + coming) * model.weight,
                absent=True,
            )
        views = [self._plan.server_by_id[server] for server in homes]
        if any(model.model in view.loading for view in views):
            return None
        if model.waiting < CROWDED_SHARE * max(view.slots for view in views):
            return None
        if any(self._swap.pressure.admits(server, 0) for server in homes):
            return None
        return Want(
            model=model.model,
            gain=model.waiting * model.weight,
            absent=False,
        )

    def _load(self, want: Want) -> None:
        server = self._spare.find(want.model)
        if server is not None:
            self._spare.load(server, want.model)
            return
        if self._plan.load_slots < 1 or self._frees_soon(want.model):
            return
        best = self._best_site(want)
        if best is None or (not want.absent and best.cost > want.gain):
            return
        if best.victims:
            self._spare.closed.add(best.server)
            self._swap.carry_out(best)
            return
        if self._plan.can_load(best.server, want.model):
            self.opened = not self._plan.is_used(best.server)
            self._spare.load(best.server, want.model)

    def _best_site(self, want: Want) -> _swap.Site | None:
        sites = self._empty_sites(want.model)
        for reach in _swap.Reach:
            sites.extend(self._swaps(want.model, reach))
            if sites or not want.absent:
                break
        return min(sites, key=lambda site: site.cost, default=None)

    def _frees_soon(self, model: ids.ModelName) -> bool:
        needed_mb = self._plan.model_by_name[model].memory_mb
        return any(
            self._plan.free_soon_mb(server) >= needed_mb
            for server in self._freeing
        )

    def _empty_sites(self, model: ids.ModelName) -> list[_swap.Site]:
        cost = self._costs.accelerator * OPEN_S
        fitting = (
            server
            for server in self._unused
            if not self._plan.is_used(server)
            and self._plan.can_load(server, model)
        )
        return [
            _swap.Site(cost=cost, server=server)
            for server in itertools.islice(fitting, 1)
        ]

    def _swaps(
        self,
        model: ids.ModelName,
        reach: _swap.Reach,
    ) -> list[_swap.Site]:
        return [
            site
            for server in self._looked_at
            if server not in self._spare.closed
            and (site := self._swap.site(server, model, reach=reach))
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
