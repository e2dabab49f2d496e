"""Distribute the demand for models over the servers that hold them.

Estimates how many more or fewer requests per second would be on time if a model
had one replica more or less, so that models in high demand get more replicas.
"""

import math
from collections.abc import Collection, Mapping

import msgspec

from oatcrank import ids
from oatcrank.orders import demand

# Above a utilization of ON_TIME_LOAD some requests are late.  Their share grows
# with the utilization, up to MAX_LATE_SHARE.
ON_TIME_LOAD = 0.1
LATE_SHARE_PER_LOAD = 0.6
MAX_LATE_SHARE = 0.8
# Weight of the adapter slots' utilization relative to that of request slots.
ADAPTER_WEIGHT = 0.5
# Share of the requests that are late when their adapter must be loaded first.
ADAPTER_MISS_SHARE = 0.3

ShareByServer = dict[ids.ServerId, demand.ModelDemand]


class ServerLoad(msgspec.Struct, kw_only=True):
    """Capacity of a server, and the demand assigned to it."""

    slots: int
    adapter_slots: int
    rate: float = 0
    running: float = 0
    adapters: float = 0

    def add(self, model_demand: demand.ModelDemand, sign: int = 1) -> None:
        """Add demand, or subtract it with a sign of -1."""
        self.rate += sign * model_demand.rate
        self.running += sign * model_demand.running
        self.adapters += sign * model_demand.adapters

    def utilization(self) -> float:
        """Return the larger of the shares of slots and adapter slots in use."""
        slot_share = self.running / self.slots
        adapter_share = self.adapters / max(1, self.adapter_slots)
        return max(slot_share, ADAPTER_WEIGHT * adapter_share)

    def late_share(self) -> float:
        """Return the share of requests that are late."""
        late = LATE_SHARE_PER_LOAD * (self.utilization() - ON_TIME_LOAD)
        return min(MAX_LATE_SHARE, max(0, late))


class DemandDistribution:
    """Each server's share of the demand for each model."""

    def __init__(
        self,
        load_by_id: dict[ids.ServerId, ServerLoad],
        demand_by_model: Mapping[ids.ModelName, demand.ModelDemand],
        shares_by_model: dict[ids.ModelName, ShareByServer],
    ) -> None:
        """Store shares that are already counted in the loads."""
        self._load_by_id = load_by_id
        self._demand_by_model = demand_by_model
        self._shares_by_model = shares_by_model

    def replicas(self, model: ids.ModelName) -> int:
        """Return how many servers hold a model."""
        return len(self._shares_by_model.get(model, ()))

    def demand_for(self, model: ids.ModelName) -> demand.ModelDemand:
        """Return the total demand for a model."""
        return self._demand_by_model.get(model, demand.NO_DEMAND)

    def gain(self, model: ids.ModelName, server_id: ids.ServerId) -> float:
        """Return how many more requests/s are on time with one more replica."""
        return self._on_time_change(model, [*self._holders(model), server_id])

    def loss(self, model: ids.ModelName, server_id: ids.ServerId) -> float:
        """Return how many fewer requests/s are on time without a replica."""
        return -self._on_time_change(
            model, self._other_holders(model, server_id)
        )

    def without_replica(
        self,
        model: ids.ModelName,
        server_id: ids.ServerId,
    ) -> 'DemandDistribution':
        """Return the distribution with one replica removed."""
        others = self._other_holders(model, server_id)
        return self.with_holders(model, others, self._load_by_id)

    def with_holders(
        self,
        model: ids.ModelName,
        holders: Collection[ids.ServerId],
        affected: Collection[ids.ServerId],
    ) -> 'DemandDistribution':
        """Return the distribution over affected servers with new holders."""
        load_by_id = {
            server_id: msgspec.structs.replace(self._load_by_id[server_id])
            for server_id in affected
        }
        shares_by_model = dict(self._shares_by_model)
        for present, share in shares_by_model.pop(model, {}).items():
            load_by_id[present].add(share, -1)
        if holders:
            shares_by_model[model] = distribute_model(
                self.demand_for(model),
                {holder: load_by_id[holder] for holder in holders},
            )
        return DemandDistribution(
            load_by_id, self._demand_by_model, shares_by_model
        )

    def late_rate(self, model: ids.ModelName) -> float:
        """Return how many of a model's requests per second are late."""
        missed = self._adapter_misses(model, self._holders(model))
        return missed + sum(
            share.rate * self._load_by_id[server_id].late_share()
            for server_id, share in self._shares_by_model.get(model, {}).items()
        )

    def on_time_rate(self) -> float:
        """Return the requests per second that are on time, over all servers."""
        return sum(
            load.rate * (1 - load.late_share())
            for load in self._load_by_id.values()
        )

    def _on_time_change(
        self,
        model: ids.ModelName,
        holders: Collection[ids.ServerId],
    ) -> float:
        present = self._holders(model)
        affected = {*present, *holders}
        before = self.with_holders(model, present, affected).on_time_rate()
        after = self.with_holders(model, holders, affected).on_time_rate()
        before -= self._adapter_misses(model, present)
        after -= self._adapter_misses(model, holders)
        return after - before

    def _adapter_misses(
        self,
        model: ids.ModelName,
        holders: Collection[ids.ServerId],
    ) -> float:
        """Return the requests/s that are late because an adapter is missing."""
        model_demand = self.demand_for(model)
        if not model_demand.distinct_adapters:
            return 0
        adapter_slots = sum(
            self._load_by_id[holder].adapter_slots for holder in holders
        )
        miss_share = max(0, 1 - adapter_slots / model_demand.distinct_adapters)
        return ADAPTER_MISS_SHARE * model_demand.adapter_rate * miss_share

    def _holders(self, model: ids.ModelName) -> list[ids.ServerId]:
        return list(self._shares_by_model.get(model, ()))

    def _other_holders(
        self,
        model: ids.ModelName,
        server_id: ids.ServerId,
    ) -> list[ids.ServerId]:
        return [
            holder for holder in self._holders(model) if holder != server_id
        ]


def distribute(
    load_by_id: dict[ids.ServerId, ServerLoad],
    holders_by_model: Mapping[ids.ModelName, Collection[ids.ServerId]],
    demand_by_model: Mapping[ids.ModelName, demand.ModelDemand],
) -> DemandDistribution:
    """Distribute all demand, starting with models with the fewest replicas."""
    by_replicas = sorted(
        holders_by_model.items(),
        key=lambda pair: len(pair[1]),
    )
    shares_by_model = {
        model: distribute_model(
            demand_by_model.get(model, demand.NO_DEMAND),
            {holder: load_by_id[holder] for holder in holders},
        )
        for model, holders in by_replicas
    }
    return DemandDistribution(load_by_id, demand_by_model, shares_by_model)


def distribute_model(
    model_demand: demand.ModelDemand,
    load_by_id: Mapping[ids.ServerId, ServerLoad],
) -> ShareByServer:
    """Assign shares of a model's demand so that utilizations become equal."""
    if model_demand.running > 0:
        share_by_id = _balanced(model_demand, load_by_id)
    else:
        share = model_demand.scaled(1 / max(1, len(load_by_id)))
        share_by_id = dict.fromkeys(load_by_id, share)
    for server_id, share in share_by_id.items():
        load_by_id[server_id].add(share)
    return share_by_id


def _balanced(
    model_demand: demand.ModelDemand,
    load_by_id: Mapping[ids.ServerId, ServerLoad],
) -> ShareByServer:
    level = _fill_level(load_by_id.values(), model_demand.running)
    return {
        server_id: model_demand.scaled(
            max(0, level * load.slots - load.running) / model_demand.running,
        )
        for server_id, load in load_by_id.items()
    }


def _slot_utilization(load: ServerLoad) -> float:
    return load.running / load.slots


def _fill_level(loads: Collection[ServerLoad], running: float) -> float:
    """Return the common utilization after assigning more running requests."""
    slots = 0
    total_running = running
    level = math.inf
    for load in sorted(loads, key=_slot_utilization):
        if _slot_utilization(load) >= level:
            break
        slots += load.slots
        total_running += load.running
        level = total_running / slots
    return level
