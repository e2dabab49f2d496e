"""Choose which models to evict so that another one can be loaded."""

import enum

import msgspec

from oatcrank import ids
from oatcrank.placing import (
    _slot_usage,
    _spare_memory,
    demand_estimates,
    move_costs,
    move_plan,
)

# Time over which the loss of a replica and an overload are counted.
HORIZON_S = 30.0


class EvictionMethod(enum.Enum):
    """How a victim leaves its server.

    wait: later, once a replica elsewhere has loaded.
    load_elsewhere: later, once the load on another server has ended.
    """

    unload = 'unload'
    drain = 'drain'
    wait = 'wait'
    load_elsewhere = 'load_elsewhere'


class EvictionScope(enum.Enum):
    """Which models may be evicted, beside the idle ones.

    replicated: also busy models that have another replica.
    movable: also busy models that fit on another server.
    """

    idle = 'idle'
    replicated = 'replicated'
    movable = 'movable'


class Victim(msgspec.Struct, frozen=True, kw_only=True):
    """A model to evict; the cost is in requests."""

    model: ids.ModelName
    method: EvictionMethod
    cost: float
    target: ids.ServerId | None = None


class LoadOption(msgspec.Struct, frozen=True, kw_only=True):
    """A server that can load a replica; the cost is in requests."""

    cost: float
    server: ids.ServerId
    victims: tuple[Victim, ...] = ()


class EvictionPlanner:
    """Find the cheapest evictions that free enough memory on a server."""

    def __init__(
        self,
        plan: move_plan.MovePlan,
        costs: move_costs.MoveCosts,
        slot_usage: _slot_usage.SlotUsage,
        spare_memory: _spare_memory.SpareMemory,
        estimates: demand_estimates.DemandEstimates,
    ) -> None:
        """Plan evictions within one round's moves."""
        self._plan = plan
        self._costs = costs
        self.slot_usage = slot_usage
        self._spare_memory = spare_memory
        self._idle_by_server: dict[ids.ServerId, list[Victim]] = {}
        self._estimates = estimates

    def unload_cost(self, server: ids.ServerId, model: ids.ModelName) -> float:
        """Return the cost of unloading an idle replica."""
        return self._costs.move + HORIZON_S * self.loss(server, model)

    def loss(self, server: ids.ServerId, model: ids.ModelName) -> float:
        """Return the requests/s that are lost once a replica is unloaded."""
        others = set(self._plan.servers_by_model[model]) - {server}
        return 0 if others else self._costs.absence_cost_rate(model)

    def move_cost(self, server: ids.ServerId, model: ids.ModelName) -> float:
        """Return the cost of having the model on another server instead."""
        others = set(self._plan.servers_by_model[model]) - {server}
        return self._costs.move if others else 2 * self._costs.move

    def option(
        self,
        server: ids.ServerId,
        model: ids.ModelName,
        *,
        scope: EvictionScope = EvictionScope.idle,
    ) -> LoadOption | None:
        """Return the cheapest way to load a model on a server, if any."""
        if self._plan.holds(server, model):
            return None
        missing_mb = self._plan.model_by_name[model].memory_mb
        missing_mb -= self._plan.free_soon_mb(server)
        cost = self._overload(server, model)
        victims: list[Victim] = []
        for victim in self._cached_victims(server, scope=scope):
            if missing_mb <= 0:
                break
            victims.append(victim)
            cost += victim.cost
            missing_mb -= self._plan.model_by_name[victim.model].memory_mb
        if missing_mb > 0:
            return None
        return LoadOption(cost=cost, server=server, victims=tuple(victims))

    def carry_out(self, option: LoadOption) -> None:
        """Add the moves that evict an option's victims."""
        for victim in option.victims:
            if victim.method is EvictionMethod.unload:
                self._plan.unload(option.server, victim.model)
            elif victim.method is EvictionMethod.drain:
                self._plan.drain(option.server, victim.model)
            elif victim.target and self._plan.can_load(
                victim.target,
                victim.model,
            ):
                self._spare_memory.load(victim.target, victim.model)

    def _cached_victims(
        self,
        server: ids.ServerId,
        *,
        scope: EvictionScope,
    ) -> list[Victim]:
        # At most one eviction is chosen per server and round, so the costs of
        # its idle models don't change within the round.
        if scope is not EvictionScope.idle:
            return self._victims(server, scope=scope)
        victims = self._idle_by_server.get(server)
        if victims is None:
            victims = self._victims(server, scope=scope)
            self._idle_by_server[server] = victims
        return victims

    def _victims(
        self,
        server: ids.ServerId,
        *,
        scope: EvictionScope,
    ) -> list[Victim]:
        view = self._plan.server_by_id[server]
        victims = [
            victim
            for held in view.loaded
            if (victim := self._victim(server, held, scope=scope))
        ]
        return sorted(victims, key=_cost)

    def _victim(
        self,
        server: ids.ServerId,
        model: ids.ModelName,
        *,
        scope: EvictionScope,
    ) -> Victim | None:
        if self._plan.can_unload(server, model):
            return Victim(
                model=model,
                method=EvictionMethod.unload,
                cost=self.unload_cost(server, model),
            )
        holders = self._plan.servers_by_model[model]
        others = set(holders) - {server}
        if server not in holders or scope is EvictionScope.idle:
            return None
        if others:
            ready = any(
                model in self._plan.server_by_id[other].loaded
                for other in others
            )
            return Victim(
                model=model,
                method=EvictionMethod.drain if ready else EvictionMethod.wait,
                cost=2 * self._costs.move,
            )
        target = (
            self._spare_memory.find(model)
            if scope is EvictionScope.movable
            else None
        )
        if target is None or target == server:
            return None
        return Victim(
            model=model,
            method=EvictionMethod.load_elsewhere,
            cost=3 * self._costs.move,
            target=target,
        )

    def _overload(self, server: ids.ServerId, model: ids.ModelName) -> float:
        if self.slot_usage.admits(server, self._costs.slots_needed(model)):
            return 0
        return self._estimates.of(model).rate * HORIZON_S


def _cost(victim: Victim) -> float:
    return victim.cost
