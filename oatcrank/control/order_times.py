"""Know from when on no order sent for a replica can take effect."""

import math
from collections.abc import Collection

from oatcrank import clock, ids
from oatcrank.control import deposed, plan
from oatcrank.engines import order
from oatcrank.settings import control_settings

MS_PER_S = 1000
OrderKey = tuple[ids.ServerId, ids.ModelName, order.OrderKind]


class OrderTimes:
    """Remember when this process last sent what, on its own clock.

    What other processes sent has no known time; it counts as sent at the last
    quiet moment: this process's takeover, or the latest confirmation that an
    earlier controller has stopped.
    """

    def __init__(
        self,
        settings: control_settings.ControlSettings,
        time_source: clock.Clock,
    ) -> None:
        """Count everything unknown as sent now."""
        self._clock = time_source
        self._lag_s = settings.report_lag_ms / MS_PER_S
        self._settled_s = self._lag_s + settings.delivery_delay_ms / MS_PER_S
        self._again_s = self._lag_s + settings.order_timeout_ms / MS_PER_S
        self._quiet = time_source.now()
        self._sent: dict[OrderKey, float] = {}
        self._boot: dict[OrderKey, str] = {}
        self._changed: dict[tuple[ids.ServerId, ids.ModelName], float] = {}

    def restart(self) -> None:
        """Forget what was sent under an earlier fence; count it as of now."""
        self._sent.clear()
        self._boot.clear()
        self._changed.clear()
        self._quiet = self._clock.now()

    def quieten(self) -> None:
        """Count what a controller just confirmed as stopped sent as of now."""
        self._quiet = self._clock.now()

    def sending(self, key: OrderKey, boot_id: str) -> None:
        """Note that an order is about to be sent."""
        self._sent[key] = math.inf
        self._boot[key] = boot_id

    def sent(self, key: OrderKey) -> None:
        """Note that the send has ended, with or without an answer."""
        self._sent[key] = self._clock.now()

    def changed(self, replica: plan.Replica) -> None:
        """Note that a report has just shown a replica's order done."""
        self._changed[replica.server, replica.model] = self._clock.now()

    def was_sent(self, key: OrderKey) -> bool:
        """Return whether this process has sent the order."""
        return key in self._sent

    def due(self, key: OrderKey, asked: float, boot_id: str) -> bool:
        """Return whether a report asked at that time calls for a send."""
        if key not in self._sent or self._boot[key] != boot_id:
            return True
        return asked >= self._sent[key] + self._again_s

    def lost(self, replica: plan.Replica, asked: float) -> bool:
        """Return whether a report without a loaded model can be believed."""
        seen = self._changed.get((replica.server, replica.model), self._quiet)
        return asked >= seen + self._lag_s

    def loads_settled(
        self,
        replica: plan.Replica,
        earlier: Collection[deposed.Deposed],
        asked: float,
    ) -> bool:
        """Return whether a report asked then shows every load's effect."""
        if any(former.fence >= replica.load_fence for former in earlier):
            return False
        key = (replica.server, replica.model, order.OrderKind.load_model)
        last = max(self._quiet, self._sent.get(key, self._quiet))
        return asked >= last + self._settled_s

    def unloads_settled(
        self,
        replica: plan.Replica,
        earlier: Collection[deposed.Deposed],
        asked: float,
    ) -> bool:
        """Return whether no unload can take effect, nor a report mislead."""
        if any(former.fence >= replica.unload_fence for former in earlier):
            return False
        key = (replica.server, replica.model, order.OrderKind.unload_model)
        gone = self._changed.get(key[:2], self._quiet)
        last = max(self._quiet, gone, self._sent.get(key, self._quiet))
        return asked >= last + self._settled_s

    def forget(self, replica: plan.Replica) -> None:
        """Drop what is known of a replica that has left the plan."""
        pair = (replica.server, replica.model)
        self._changed.pop(pair, None)
        for kind in (
            order.OrderKind.load_model,
            order.OrderKind.unload_model,
        ):
            self._sent.pop((*pair, kind), None)
            self._boot.pop((*pair, kind), None)
