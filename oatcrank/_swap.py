"""Choose the idle models that make room for a wanted one."""

import msgspec

from oatcrank import _pressure, _prices, _room, demand, ids

HORIZON_S = 30.0


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a place for a replica and what it costs, in requests."""

    cost: float
    server: ids.ServerId
    victims: tuple[ids.ModelName, ...] = ()


class Swap:
    """Price the unloading of idle models, the cheapest first."""

    def __init__(
        self,
        room: _room.Room,
        prices: _prices.Prices,
        pressure: _pressure.Pressure,
        book: demand.DemandBook,
    ) -> None:
        """Price within one round's room."""
        self._room = room
        self._prices = prices
        self._pressure = pressure
        self._book = book

    def drop_price(self, server: ids.ServerId, model: ids.ModelName) -> float:
        """Return what the unloading of an idle replica loses."""
        return self._prices.move + HORIZON_S * self.loss(server, model)

    def loss(self, server: ids.ServerId, model: ids.ModelName) -> float:
        """Return what is lost a second once a replica is gone."""
        others = set(self._room.homes_by_model[model]) - {server}
        return 0 if others else self._prices.keep(model)

    def move_price(self, server: ids.ServerId, model: ids.ModelName) -> float:
        """Return what it costs to have the model elsewhere instead."""
        others = set(self._room.homes_by_model[model]) - {server}
        return self._prices.move if others else 2 * self._prices.move

    def site(self, server: ids.ServerId, model: ids.ModelName) -> Site | None:
        """Return the cheapest swap on a server, if there is one."""
        if self._room.holds(server, model):
            return None
        lacking_mb = self._room.model_by_name[model].memory_mb
        lacking_mb -= self._room.free_by_server[server]
        cost = self._overload(server, model)
        victims: list[ids.ModelName] = []
        for price, victim in self._victims(server):
            if lacking_mb <= 0:
                break
            victims.append(victim)
            cost += price
            lacking_mb -= self._room.model_by_name[victim].memory_mb
        if lacking_mb > 0:
            return None
        return Site(cost=cost, server=server, victims=tuple(victims))

    def _victims(
        self,
        server: ids.ServerId,
    ) -> list[tuple[float, ids.ModelName]]:
        view = self._room.server_by_id[server]
        return sorted(
            (self.drop_price(server, held), held)
            for held in view.loaded
            if self._room.can_unload(server, held)
        )

    def _overload(self, server: ids.ServerId, model: ids.ModelName) -> float:
        if self._pressure.admits(server, self._prices.need(model)):
            return 0
        return self._book.of(model).rate * HORIZON_S
