"""Send orders while this instance's turn lasts."""

import math
from collections.abc import Callable

from oatcrank import ids, logs
from oatcrank.orders import (
    boot_clock,
    lease_term,
    ledger,
    order,
    placement_status,
)
from oatcrank.routing import need

RETRY_S = 0.25
MIN_RETRY_S = 0.05
# Sends of one order in all; a server takes at most one of them.
MAX_SENDS = 3
ANSWERED = frozenset(
    (
        order.Outcome.accepted,
        order.Outcome.done,
        order.Outcome.conflict,
        order.Outcome.rejected,
    ),
)

OnUnload = Callable[[ids.ServerId, need.Need], None]


class OrderDispatcher:
    """Send single orders and enter them in the ledgers."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        sender: order.OrderSender,
    ) -> None:
        """Order in the name of an instance; nobody hears of unloads yet."""
        self.term: lease_term.LeaseTerm | None = None
        self.last_order_s = -math.inf
        self.on_unload: OnUnload = _ignore_unload
        self._instance_id = instance_id
        self._sender = sender

    def may_send(self) -> bool:
        """Tell whether an order may leave at this moment."""
        return self.term is not None and self.term.may_order(boot_clock.now())

    def require_term(self) -> lease_term.LeaseTerm:
        """Return the turn, or raise NotOrdered if there is none now."""
        now_s = boot_clock.now()
        term = self.term
        if term is None:
            raise placement_status.PlacementError(
                'this instance gives no orders', RETRY_S
            )
        if not term.may_order(now_s):
            raise placement_status.PlacementError(
                'the turn has not begun or is over',
                max(MIN_RETRY_S, term.orders_start_s() - now_s),
            )
        return term

    async def send(
        self,
        one: ledger.Ledger,
        action: order.Action,
        model: ids.ModelName,
        adapter: ids.AdapterName | None,
        duration_s: float,
    ) -> None:
        """Send an order that takes a while, or raise NotOrdered."""
        term = self.require_term()
        if one.orders_taken is None:
            raise placement_status.PlacementError(
                'what the server holds is unknown', RETRY_S
            )
        sent_order = order.Order(
            action=action,
            model=model,
            adapter=adapter,
            orders_taken=one.orders_taken,
            holder=self._instance_id,
            fence=ids.Fence(term.fence),
        )
        outcome = await self._send_until_known(one, sent_order)
        self._apply_outcome(one, sent_order, outcome, duration_s)

    async def _send_until_known(
        self,
        one: ledger.Ledger,
        sent_order: order.Order,
    ) -> order.Outcome:
        """Send an order until its outcome is known, a few times at most.

        The count that it names has a server take one of the copies only, and
        refuse those that arrive later.
        """
        outcome = order.Outcome.unknown
        for _ in range(MAX_SENDS):
            outcome = await self._send_once(one, sent_order)
            if outcome is not order.Outcome.unknown or not self.may_send():
                break
        return outcome

    async def _send_once(
        self,
        one: ledger.Ledger,
        sent_order: order.Order,
    ) -> order.Outcome:
        self._note_sent(one)
        outcome = await self._sender.send(
            one.registration, sent_order, self.may_send
        )
        self._note_sent(one)
        logs.event(
            'order',
            server=one.registration.server_id,
            action=sent_order.action.value,
            model=sent_order.model,
            adapter=sent_order.adapter or '',
            orders_taken=sent_order.orders_taken,
            fence=sent_order.fence,
            outcome=outcome.name,
        )
        return outcome

    def _apply_outcome(
        self,
        one: ledger.Ledger,
        sent_order: order.Order,
        outcome: order.Outcome,
        duration_s: float,
    ) -> None:
        now_s = boot_clock.now()
        if outcome in ANSWERED:
            one.note_reached()
        if outcome is order.Outcome.accepted:
            one.apply_order(sent_order, now_s, now_s + duration_s)
            if (
                sent_order.action is order.Action.unload
                and not sent_order.adapter
            ):
                self.on_unload(
                    one.registration.server_id,
                    need.Need(one.registration.service, sent_order.model),
                )
            return
        if outcome is order.Outcome.done:
            one.apply_order(sent_order, now_s, now_s)
            one.finish_order()
            return
        if outcome is order.Outcome.unsent:
            one.note_unreachable(now_s)
        else:
            one.invalidate()
        raise placement_status.PlacementError(
            f'order: {outcome.value}', RETRY_S
        )

    def _note_sent(self, one: ledger.Ledger) -> None:
        one.last_order_s = boot_clock.now()
        self.last_order_s = one.last_order_s


def _ignore_unload(server_id: ids.ServerId, dropped: need.Need) -> None:
    """Be what is called where nobody wants to know."""
