"""Place models by the gain that is expected of a move against its price."""

from oatcrank.placing import (
    _consolidation,
    _loading,
    _pressure,
    _spare,
    _swap,
    _vacating,
    demand,
    move_prices,
    placement,
    server_room,
)
from oatcrank.settings import policy_settings


class ExpectedGainPlacement(placement.Placement):
    """Load what gains most per load second, and free idle accelerators."""

    def __init__(self, weights: policy_settings.PolicySettings) -> None:
        """Weigh accelerators and moves by the settings."""
        self._weights = weights
        self._book = demand.DemandBook()
        self._consolidation = _consolidation.Consolidation()

    def decide(self, seen: placement.Observation) -> tuple[placement.Move, ...]:
        """Return the moves to start now, best first."""
        self._book.update(seen)
        room = server_room.Room(seen)
        prices = move_prices.Prices(
            seen,
            self._book,
            self._weights,
        )
        pressure = _pressure.Pressure(room, prices)
        spare = _spare.Spare(room, prices, pressure)
        swap = _swap.Swap(room, prices, pressure, spare, self._book)
        loading = _loading.Loading(room, prices, spare, swap, self._book)
        _unload_drained(room)
        if self._consolidation.closing:
            spare.closed.add(self._consolidation.closing)
        wanted = loading.load_wanted()
        if loading.opened:
            self._consolidation.stop(seen.now_s)
        if not wanted:
            vacating = _vacating.Vacating(room, spare, swap)
            self._consolidation.choose(room, prices, vacating)
            if self._consolidation.closing:
                spare.closed.add(self._consolidation.closing)
            self._consolidation.go_on(room, prices, vacating)
            loading.load_floor()
        return tuple(room.moves)


def _unload_drained(room: server_room.Room) -> None:
    for view in room.seen.servers:
        for model in view.draining:
            if room.can_unload(view.server, model):
                room.unload(view.server, model)
