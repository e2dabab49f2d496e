"""Track whether a sent order for a replica can still take effect."""

import math
from collections.abc import Collection

from oatcrank import clock, ids
from oatcrank.control import plan, superseded_controller
from oatcrank.engines import order
from oatcrank.settings import control_settings

MS_PER_S = 1000
OrderKey = tuple[ids.ServerId, ids.ModelName, order.OrderKind]


class OrderTimes:
    """Record when this process last sent each order, on its own clock.

    The send times of other processes are unknown.  Their orders count as sent
    at the baseline: this process's takeover, or the latest confirmation that
    an earlier controller has stopped.
    """

    def __init__(
        self,
        settings: control_settings.ControlSettings,
        clock: clock.Clock,
    ) -> None:
        """Set the baseline to the present."""
        self._clock = clock
        self._lag_s = settings.report_lag_ms / MS_PER_S
        self._settle_s = self._lag_s + settings.delivery_delay_ms / MS_PER_S
        self._resend_s = self._lag_s + settings.order_timeout_ms / MS_PER_S
        self._baseline = clock.now()
        self._sent_at: dict[OrderKey, float] = {}
        self._boot_id_by_order: dict[OrderKey, str] = {}
        self._completed_at: dict[tuple[ids.ServerId, ids.ModelName], float] = {}

    def restart(self) -> None:
        """Forget orders of an earlier fence and reset the baseline."""
        self._sent_at.clear()
        self._boot_id_by_order.clear()
        self._completed_at.clear()
        self._baseline = self._clock.now()

    def reset_baseline(self) -> None:
        """Reset the baseline when a superseded controller has stopped."""
        self._baseline = self._clock.now()

    def record_send_start(self, key: OrderKey, boot_id: str) -> None:
        """Record that an order is about to be sent."""
        # No resend is due before the send ends, unless the server restarts.
        self._sent_at[key] = math.inf
        self._boot_id_by_order[key] = boot_id

    def record_send_end(self, key: OrderKey) -> None:
        """Record that the send has ended, with or without a reply."""
        self._sent_at[key] = self._clock.now()

    def record_completion(self, replica: plan.Replica) -> None:
        """Record that a report has just shown a replica's order as done."""
        self._completed_at[replica.server, replica.model] = self._clock.now()

    def was_sent(self, key: OrderKey) -> bool:
        """Return whether this process has sent the order."""
        return key in self._sent_at

    def is_due(self, key: OrderKey, requested_at: float, boot_id: str) -> bool:
        """Return whether a report requested at that time calls for a send."""
        if key not in self._sent_at or self._boot_id_by_order[key] != boot_id:
            return True
        return requested_at >= self._sent_at[key] + self._resend_s

    def is_loss_confirmed(
        self, replica: plan.Replica, requested_at: float
    ) -> bool:
        """Return whether a report requested at that time proves a loss."""
        completed_at = self._completed_at.get(
            (replica.server, replica.model),
            self._baseline,
        )
        return requested_at >= completed_at + self._lag_s

    def loads_settled(
        self,
        replica: plan.Replica,
        superseded: Collection[superseded_controller.SupersededController],
        requested_at: float,
    ) -> bool:
        """Return whether a report requested at that time reflects all loads."""
        if any(
            controller.fence >= replica.load_fence for controller in superseded
        ):
            return False
        key = (replica.server, replica.model, order.OrderKind.load_model)
        last = max(self._baseline, self._sent_at.get(key, self._baseline))
        return requested_at >= last + self._settle_s

    def unloads_settled(
        self,
        replica: plan.Replica,
        superseded: Collection[superseded_controller.SupersededController],
        requested_at: float,
    ) -> bool:
        """Return whether no unload can take effect and no report is stale."""
        if any(
            controller.fence >= replica.unload_fence
            for controller in superseded
        ):
            return False
        key = (replica.server, replica.model, order.OrderKind.unload_model)
        completed_at = self._completed_at.get(key[:2], self._baseline)
        last = max(
            self._baseline, completed_at, self._sent_at.get(key, self._baseline)
        )
        return requested_at >= last + self._settle_s

    def forget(self, replica: plan.Replica) -> None:
        """Drop the times of a replica that was removed from the plan."""
        pair = (replica.server, replica.model)
        self._completed_at.pop(pair, None)
        for kind in (
            order.OrderKind.load_model,
            order.OrderKind.unload_model,
        ):
            self._sent_at.pop((*pair, kind), None)
            self._boot_id_by_order.pop((*pair, kind), None)
