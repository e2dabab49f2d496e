"""Keep what one backend server holds, by its count of accepted orders.

Every order names the count it was decided on, and a server takes it only at
that count: what is known to be held at a count can't be overrun by an order
that arrives late or twice.
"""

import math

import msgspec

from oatcrank import ids
from oatcrank.orders import order
from oatcrank.routing import route, server_registration

# A report may be this old; before, it says nothing of an order just sent.
REPORT_LAG_S = 0.4
REPORT_PAUSE_S = 0.25
# How long a server that can't be reached is left alone, doubled each time.
FIRST_UNREACHABLE_S = 1.0
LONGEST_UNREACHABLE_S = 8.0


class ActiveOrder(msgspec.Struct, kw_only=True):
    """Hold an order on a model that a server is carrying out."""

    order: order.Order
    started_s: float
    expected_end_s: float


class Reservation(msgspec.Struct, frozen=True, kw_only=True):
    """Keep a server for one load, and say what makes way for it."""

    load: ids.ModelName
    unload: tuple[ids.ModelName, ...] = ()


class Ledger:
    """Hold what a server has and what it has been told."""

    def __init__(self, registration: server_registration.Registration) -> None:
        """Know nothing for certain until a report is taken."""
        self.registration = registration
        self.orders_taken: int | None = None
        self.adapters_by_model: dict[ids.ModelName, set[ids.AdapterName]] = {}
        self.active_order: ActiveOrder | None = None
        # From a placement's decision to its last order.
        self.reservation: Reservation | None = None
        self.last_order_s = -math.inf
        self._last_report_s = -math.inf
        self._unreachable_until_s = -math.inf
        self._unreachable_s = FIRST_UNREACHABLE_S
        self._loaded_s_by_model: dict[ids.ModelName, float] = {}

    @property
    def known(self) -> bool:
        """Tell whether orders may be decided on what is known."""
        return self.orders_taken is not None

    def ready(self, now_s: float) -> bool:
        """Tell whether the server would take an order on a model."""
        return (
            self.known
            and self.active_order is None
            and self.reservation is None
            and self.reachable(now_s)
        )

    def reachable(self, now_s: float) -> bool:
        """Tell whether the server was not found unreachable lately."""
        return (
            now_s >= self._unreachable_until_s and not self.registration.leaving
        )

    def note_unreachable(self, now_s: float) -> None:
        """Leave the server alone for a while, longer each time in a row."""
        self._unreachable_until_s = now_s + self._unreachable_s
        self._unreachable_s = min(
            LONGEST_UNREACHABLE_S,
            self._unreachable_s * 2,
        )

    def note_reached(self) -> None:
        """Note that the server has answered."""
        self._unreachable_s = FIRST_UNREACHABLE_S

    def needs_report(self, now_s: float) -> bool:
        """Tell whether a report would be taken and is worth its price."""
        wanting = not self.known or self._unloads_adapter()
        return (
            wanting
            and self.reachable(now_s)
            and now_s - self.last_order_s > REPORT_LAG_S
            and now_s - self._last_report_s > REPORT_PAUSE_S
        )

    def note_report(self, now_s: float) -> None:
        """Note that a report is asked for."""
        self._last_report_s = now_s

    def apply_report(self, told: order.Report, now_s: float) -> None:
        """Replace what is known, unless an order is on its way."""
        if now_s - self.last_order_s <= REPORT_LAG_S:
            return
        if told.busy and self.active_order is None:
            # What another holder has ordered is seen when it is done.
            self.orders_taken = None
            return
        self.orders_taken = told.orders_taken
        self.adapters_by_model = {
            model: set(adapters)
            for model, adapters in told.adapters_by_model.items()
        }
        for model, adapter in told.arriving_adapters:
            self.adapters_by_model.setdefault(model, set()).add(adapter)
        if not told.busy:
            self.active_order = None
        elif self.active_order is not None:
            self.adapters_by_model.setdefault(
                self.active_order.order.model, set()
            )

    def apply_registration(
        self, registration: server_registration.Registration
    ) -> None:
        """Take a newer registration, which ends work that it shows done."""
        self.registration = registration
        if (
            self.active_order is None
            or self.active_order.order.adapter is not None
        ):
            return
        one = self.active_order.order
        held = one.model in registration.adapters_by_model
        if held == (one.action is order.Action.load):
            self.finish_order()

    def invalidate(self) -> None:
        """Forget the count: something else than expected has happened."""
        self.orders_taken = None

    def apply_order(
        self, one: order.Order, now_s: float, ends_s: float
    ) -> None:
        """Take an order that the server has accepted.

        It is at work until done, but that an adapter's load is no work; an
        adapter in use is unloaded only when its runs have ended.
        """
        self.orders_taken = one.orders_taken + 1
        if one.action is order.Action.load:
            adapters = self.adapters_by_model.setdefault(one.model, set())
            if one.adapter is not None:
                adapters.add(one.adapter)
                return
            self._loaded_s_by_model[one.model] = now_s
        self.active_order = ActiveOrder(
            order=one, started_s=now_s, expected_end_s=ends_s
        )

    def finish_order(self) -> None:
        """Note that the order under way is done."""
        if self.active_order is None:
            return
        one = self.active_order.order
        self.active_order = None
        if one.action is order.Action.load:
            return
        if one.adapter is None:
            self.adapters_by_model.pop(one.model, None)
        else:
            self.adapters_by_model.get(one.model, set()).discard(one.adapter)

    def _unloads_adapter(self) -> bool:
        return (
            self.active_order is not None
            and self.active_order.order.adapter is not None
        )

    def retains(self, model: ids.ModelName) -> bool:
        """Tell whether the server holds a model and is not dropping it."""
        if model not in self.adapters_by_model:
            return False
        if (
            self.active_order is None
            or self.active_order.order.adapter is not None
        ):
            return True
        one = self.active_order.order
        return one.model != model or one.action is order.Action.load

    def planned_models(self) -> set[ids.ModelName]:
        """Return what the server holds once all that is decided is done."""
        models = set(filter(self.retains, self.adapters_by_model))
        if self.reservation is not None:
            models.difference_update(self.reservation.unload)
            models.add(self.reservation.load)
        return models

    # Room

    def adapter_count(self) -> int:
        """Return how many places for adapters are taken."""
        return sum(map(len, self.adapters_by_model.values()))

    def free_mb(self, engine: route.Engine) -> float:
        """Return the memory left for models, all adapter places set aside."""
        set_aside_mb = engine.max_adapters * max(
            (model.adapter_mb for model in engine.model_by_name.values()),
            default=0,
        )
        used_mb = sum(
            weights_mb(engine, model) for model in self.adapters_by_model
        )
        return engine.weights_mb - set_aside_mb - used_mb

    def last_load_s(self, model: ids.ModelName) -> float:
        """Return when a model was ordered here, or minus infinity."""
        return self._loaded_s_by_model.get(model, -math.inf)

    def load_s(self, model: route.Model) -> float:
        """Return how long the server would take to load a model."""
        if model.name in self.registration.cached_in_memory:
            return model.memory_load_s
        if model.name in self.registration.cached_on_disk:
            return model.disk_load_s
        return model.store_load_s

    def is_cached(self, model: ids.ModelName) -> bool:
        """Tell whether a load needs nothing of the weight store."""
        return (
            model in self.registration.cached_in_memory
            or model in self.registration.cached_on_disk
        )


def weights_mb(engine: route.Engine, name: ids.ModelName) -> float:
    """Return a model's memory; an unknown one fills a server."""
    found = engine.model_by_name.get(name)
    return engine.weights_mb if found is None else found.weights_mb
