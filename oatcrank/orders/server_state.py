"""Track what a backend server holds, versioned by its count of accepted orders.

Every order carries the count that it was decided on, and a server accepts it
only at that count.  An order that arrives late or twice is thus rejected and
can't change contents that were recorded at a later count.
"""

import math

import msgspec

from oatcrank import ids
from oatcrank.orders import order
from oatcrank.routing import route, server_registration

# Reports may be this old, so an earlier one may not reflect the last order.
REPORT_LAG_S = 0.4
REPORT_INTERVAL_S = 0.25
# The registration that shows the end of an order arrives within this time, if
# the store is in reach; otherwise a report tells.
REGISTRATION_LAG_S = 0.5
# Backoff after a server was unreachable; it doubles each time.
INITIAL_UNREACHABLE_S = 1.0
MAX_UNREACHABLE_S = 8.0


class ActiveOrder(msgspec.Struct, kw_only=True):
    """An order that a server has accepted and not completed."""

    order: order.Order
    started_s: float
    expected_end_s: float


class Reservation(msgspec.Struct, frozen=True, kw_only=True):
    """Reservation of a server for one load and the unloads before it."""

    load: ids.ModelName
    unload: tuple[ids.ModelName, ...] = ()


class ServerState:
    """Contents of a server, and the orders in progress or planned for it."""

    def __init__(self, registration: server_registration.Registration) -> None:
        """Start with unknown contents, until the first report."""
        self.registration = registration
        self.orders_taken: int | None = None
        self.adapters_by_model: dict[ids.ModelName, set[ids.AdapterName]] = {}
        self.active_order: ActiveOrder | None = None
        # Set from the placement decision until its last order.
        self.reservation: Reservation | None = None
        self.last_order_s = -math.inf
        self._last_report_s = -math.inf
        self._unreachable_until_s = -math.inf
        self._unreachable_pause_s = INITIAL_UNREACHABLE_S
        self._ordered_s_by_model: dict[ids.ModelName, float] = {}

    @property
    def known(self) -> bool:
        """Return whether the contents are known, so that orders may be sent."""
        return self.orders_taken is not None

    def ready(self, now_s: float) -> bool:
        """Return whether the server would accept an order on a model."""
        return (
            self.known
            and self.active_order is None
            and self.reservation is None
            and self.reachable(now_s)
        )

    def reachable(self, now_s: float) -> bool:
        """Return whether the server is neither backed off nor leaving."""
        return (
            now_s >= self._unreachable_until_s and not self.registration.leaving
        )

    def record_unreachable(self, now_s: float) -> None:
        """Back off from the server exponentially."""
        self._unreachable_until_s = now_s + self._unreachable_pause_s
        self._unreachable_pause_s = min(
            MAX_UNREACHABLE_S,
            self._unreachable_pause_s * 2,
        )

    def record_reached(self) -> None:
        """Reset the backoff after the server has answered."""
        self._unreachable_pause_s = INITIAL_UNREACHABLE_S

    def needs_report(self, now_s: float) -> bool:
        """Return whether to request a report that would add information."""
        incomplete = (
            not self.known
            or self._unloads_adapter()
            or self.is_end_overdue(now_s)
        )
        return (
            incomplete
            and self.reachable(now_s)
            and now_s - self.last_order_s > REPORT_LAG_S
            and now_s - self._last_report_s > REPORT_INTERVAL_S
        )

    def is_end_overdue(self, now_s: float) -> bool:
        """Return whether the active order has probably ended unnoticed."""
        return (
            self.active_order is not None
            and now_s - self.active_order.expected_end_s > REGISTRATION_LAG_S
        )

    def record_report_request(self, now_s: float) -> None:
        """Record that a report is requested."""
        self._last_report_s = now_s

    def apply_report(self, report: order.Report, now_s: float) -> None:
        """Replace the contents, unless the report may predate an order."""
        if now_s - self.last_order_s <= REPORT_LAG_S:
            return
        if report.busy and self.active_order is None:
            # An order of another lease holder is active; its result is not
            # known before it completes.
            self.orders_taken = None
            return
        self.orders_taken = report.orders_taken
        self.adapters_by_model = {
            model: set(adapters)
            for model, adapters in report.adapters_by_model.items()
        }
        for model, adapter in report.arriving_adapters:
            self.adapters_by_model.setdefault(model, set()).add(adapter)
        if not report.busy:
            self.active_order = None
        elif self.active_order is not None:
            self.adapters_by_model.setdefault(
                self.active_order.order.model, set()
            )

    def apply_registration(
        self, registration: server_registration.Registration
    ) -> None:
        """Apply a newer registration, which may complete the active order."""
        self.registration = registration
        if (
            self.active_order is None
            or self.active_order.order.adapter is not None
        ):
            return
        accepted = self.active_order.order
        held = accepted.model in registration.adapters_by_model
        if held == (accepted.action is order.Action.load):
            self.finish_order()

    def invalidate(self) -> None:
        """Discard the order count after an unexpected outcome."""
        self.orders_taken = None

    def apply_order(
        self, accepted: order.Order, now_s: float, ends_s: float
    ) -> None:
        """Apply an order that the server has accepted.

        The order stays active until it completes, except that adapter loads
        take effect at once.  An adapter in use is unloaded only after its runs
        have ended.
        """
        self.orders_taken = accepted.orders_taken + 1
        if accepted.action is order.Action.load:
            adapters = self.adapters_by_model.setdefault(accepted.model, set())
            if accepted.adapter is not None:
                adapters.add(accepted.adapter)
                return
            self._ordered_s_by_model[accepted.model] = now_s
        self.active_order = ActiveOrder(
            order=accepted, started_s=now_s, expected_end_s=ends_s
        )

    def finish_order(self) -> None:
        """Complete the active order and apply its result."""
        if self.active_order is None:
            return
        accepted = self.active_order.order
        self.active_order = None
        if accepted.action is order.Action.load:
            return
        if accepted.adapter is None:
            self.adapters_by_model.pop(accepted.model, None)
        else:
            self.adapters_by_model.get(accepted.model, set()).discard(
                accepted.adapter
            )

    def _unloads_adapter(self) -> bool:
        return (
            self.active_order is not None
            and self.active_order.order.adapter is not None
        )

    def retains(self, model: ids.ModelName) -> bool:
        """Return whether the server holds a model and is not unloading it."""
        if model not in self.adapters_by_model:
            return False
        if (
            self.active_order is None
            or self.active_order.order.adapter is not None
        ):
            return True
        accepted = self.active_order.order
        return accepted.model != model or accepted.action is order.Action.load

    def planned_models(self) -> set[ids.ModelName]:
        """Return the models after the active order and the reservation."""
        models = set(filter(self.retains, self.adapters_by_model))
        if self.reservation is not None:
            models.difference_update(self.reservation.unload)
            models.add(self.reservation.load)
        return models

    # Capacity

    def adapter_count(self) -> int:
        """Return how many adapter slots are taken."""
        return sum(map(len, self.adapters_by_model.values()))

    def free_mb(self, engine: route.Engine) -> float:
        """Return the memory left for models, excluding all adapter slots."""
        reserved_mb = engine.max_adapters * max(
            (model.adapter_mb for model in engine.model_by_name.values()),
            default=0,
        )
        used_mb = sum(
            weights_mb(engine, model) for model in self.adapters_by_model
        )
        return engine.weights_mb - reserved_mb - used_mb

    def last_load_s(self, model: ids.ModelName) -> float:
        """Return when a load of a model was last ordered, or -inf."""
        return self._ordered_s_by_model.get(model, -math.inf)

    def load_s(self, model: route.Model) -> float:
        """Return the seconds that the server would take to load a model."""
        if model.name in self.registration.cached_in_memory:
            return model.memory_load_s
        if model.name in self.registration.cached_on_disk:
            return model.disk_load_s
        return model.store_load_s

    def is_cached(self, model: ids.ModelName) -> bool:
        """Return whether a load would not use the weight store."""
        return (
            model in self.registration.cached_in_memory
            or model in self.registration.cached_on_disk
        )


def weights_mb(engine: route.Engine, name: ids.ModelName) -> float:
    """Return a model's memory; an unknown model counts as a whole server."""
    model = engine.model_by_name.get(name)
    return engine.weights_mb if model is None else model.weights_mb
