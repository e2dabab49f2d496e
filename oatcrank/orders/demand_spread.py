"""Spread the demand for models over the servers that hold them.

Answers demand that gathers on a few models: it tells how many requests a second
would be on time if a model had one more replica, or one less.
"""

import math
from collections.abc import Collection, Mapping

import msgspec

from oatcrank import ids
from oatcrank.orders import demand

# Requests begin to come late above this share of slots in use, more of them the
# fuller a server is, up to most.
EASY_LOAD = 0.1
LATE_PER_LOAD = 0.6
MOST_LATE = 0.8
# Places for adapters weigh half as much as slots.
ADAPTER_WEIGHT = 0.5
# The share of requests that are late where their adapter is loaded for them.
ADAPTER_MISS = 0.3

Parts = dict[ids.ServerId, demand.ModelDemand]


class Place(msgspec.Struct, kw_only=True):
    """Hold what a server can run at a time, and what is asked of it."""

    slots: int
    adapter_places: int
    rate: float = 0
    running: float = 0
    adapters: float = 0

    def add(self, wanted: demand.ModelDemand, sign: int = 1) -> None:
        """Add demand, or take it away by the sign."""
        self.rate += sign * wanted.rate
        self.running += sign * wanted.running
        self.adapters += sign * wanted.adapters

    def load(self) -> float:
        """Return the share of slots, or of places for adapters, in use."""
        slots = self.running / self.slots
        places = self.adapters / max(1, self.adapter_places)
        return max(slots, ADAPTER_WEIGHT * places)

    def late_share(self) -> float:
        """Return the share of requests that come late."""
        late = LATE_PER_LOAD * (self.load() - EASY_LOAD)
        return min(MOST_LATE, max(0, late))


class Spread:
    """Hold who serves how much of the demand for each model."""

    def __init__(
        self,
        place_by_id: dict[ids.ServerId, Place],
        demand_by_model: Mapping[ids.ModelName, demand.ModelDemand],
        parts_by_model: dict[ids.ModelName, Parts],
    ) -> None:
        """Hold demand that is spread already."""
        self._place_by_id = place_by_id
        self._demand_by_model = demand_by_model
        self._parts_by_model = parts_by_model

    def replicas(self, model: ids.ModelName) -> int:
        """Return how many servers hold a model."""
        return len(self._parts_by_model.get(model, ()))

    def wanted(self, model: ids.ModelName) -> demand.ModelDemand:
        """Return the whole demand for a model."""
        return self._demand_by_model.get(model, demand.NO_DEMAND)

    def gain(self, model: ids.ModelName, server_id: ids.ServerId) -> float:
        """Return the requests a second on time that one more replica gains."""
        return self._difference(model, [*self._holders(model), server_id])

    def loss(self, model: ids.ModelName, server_id: ids.ServerId) -> float:
        """Return those that are lost with one replica less."""
        return -self._difference(model, self._others(model, server_id))

    def without(
        self,
        model: ids.ModelName,
        server_id: ids.ServerId,
    ) -> 'Spread':
        """Return the spread with one replica less."""
        others = self._others(model, server_id)
        return self.moved(model, others, self._place_by_id)

    def moved(
        self,
        model: ids.ModelName,
        holders: Collection[ids.ServerId],
        touched: Collection[ids.ServerId],
    ) -> 'Spread':
        """Return the touched part of the spread, a model held anew."""
        place_by_id = {
            server_id: msgspec.structs.replace(self._place_by_id[server_id])
            for server_id in touched
        }
        parts_by_model = dict(self._parts_by_model)
        for present, part in parts_by_model.pop(model, {}).items():
            place_by_id[present].add(part, -1)
        if holders:
            parts_by_model[model] = pour(
                self.wanted(model),
                {holder: place_by_id[holder] for holder in holders},
            )
        return Spread(place_by_id, self._demand_by_model, parts_by_model)

    def lateness(self, model: ids.ModelName) -> float:
        """Return a model's requests a second that are late where they run."""
        missed = self._adapter_misses(model, self._holders(model))
        return missed + sum(
            part.rate * self._place_by_id[server_id].late_share()
            for server_id, part in self._parts_by_model.get(model, {}).items()
        )

    def on_time(self) -> float:
        """Return the requests a second that are on time at all servers."""
        return sum(
            place.rate * (1 - place.late_share())
            for place in self._place_by_id.values()
        )

    def _difference(
        self,
        model: ids.ModelName,
        holders: Collection[ids.ServerId],
    ) -> float:
        present = self._holders(model)
        touched = {*present, *holders}
        before = self.moved(model, present, touched).on_time()
        after = self.moved(model, holders, touched).on_time()
        before -= self._adapter_misses(model, present)
        after -= self._adapter_misses(model, holders)
        return after - before

    def _adapter_misses(
        self,
        model: ids.ModelName,
        holders: Collection[ids.ServerId],
    ) -> float:
        """Return the requests a second that are late for want of an adapter."""
        wanted = self.wanted(model)
        if not wanted.distinct_adapters:
            return 0
        places = sum(
            self._place_by_id[holder].adapter_places for holder in holders
        )
        missing = max(0, 1 - places / wanted.distinct_adapters)
        return ADAPTER_MISS * wanted.adapter_rate * missing

    def _holders(self, model: ids.ModelName) -> list[ids.ServerId]:
        return list(self._parts_by_model.get(model, ()))

    def _others(
        self,
        model: ids.ModelName,
        server_id: ids.ServerId,
    ) -> list[ids.ServerId]:
        return [one for one in self._holders(model) if one != server_id]


def spread(
    place_by_id: dict[ids.ServerId, Place],
    holders_by_model: Mapping[ids.ModelName, Collection[ids.ServerId]],
    demand_by_model: Mapping[ids.ModelName, demand.ModelDemand],
) -> Spread:
    """Spread all demand, that of models with the fewest replicas first."""
    by_replicas = sorted(
        holders_by_model.items(),
        key=lambda pair: len(pair[1]),
    )
    parts_by_model = {
        model: pour(
            demand_by_model.get(model, demand.NO_DEMAND),
            {holder: place_by_id[holder] for holder in holders},
        )
        for model, holders in by_replicas
    }
    return Spread(place_by_id, demand_by_model, parts_by_model)


def pour(
    wanted: demand.ModelDemand,
    place_by_id: Mapping[ids.ServerId, Place],
) -> Parts:
    """Give each place its part of the demand, so that all are equally full."""
    if wanted.running > 0:
        parts = _equalled(wanted, place_by_id)
    else:
        part = wanted.scaled(1 / max(1, len(place_by_id)))
        parts = dict.fromkeys(place_by_id, part)
    for server_id, part in parts.items():
        place_by_id[server_id].add(part)
    return parts


def _equalled(
    wanted: demand.ModelDemand,
    place_by_id: Mapping[ids.ServerId, Place],
) -> Parts:
    level = _level(place_by_id.values(), wanted.running)
    return {
        server_id: wanted.scaled(
            max(0, level * place.slots - place.running) / wanted.running,
        )
        for server_id, place in place_by_id.items()
    }


def _slots_used(place: Place) -> float:
    return place.running / place.slots


def _level(places: Collection[Place], running: float) -> float:
    """Return how full places become when so many more run there."""
    slots = 0
    held = running
    level = math.inf
    for place in sorted(places, key=_slots_used):
        if _slots_used(place) >= level:
            break
        slots += place.slots
        held += place.running
        level = held / slots
    return level
