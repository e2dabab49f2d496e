"""Send orders during a lease term."""

import math
from collections.abc import Callable

from oatcrank import ids, logs
from oatcrank.orders import (
    boot_clock,
    lease_term,
    order,
    placement_status,
    server_state,
)
from oatcrank.routing import need

RETRY_S = 0.25
MIN_RETRY_S = 0.05
# Sends per order, including retries; a server accepts at most one of them.
MAX_SENDS = 3
# Outcomes that show that the server is reachable.
ANSWERED = frozenset(
    (
        order.Outcome.accepted,
        order.Outcome.done,
        order.Outcome.conflict,
        order.Outcome.rejected,
    ),
)
# Outcomes that mean that the order takes effect.
TAKEN = frozenset((order.Outcome.accepted, order.Outcome.done))

OnUnload = Callable[[ids.ServerId, need.Need], None]


class OrderDispatcher:
    """Send single orders and record their outcomes in the server states."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        sender: order.OrderSender,
    ) -> None:
        """Send orders in the name of an instance."""
        self.term: lease_term.LeaseTerm | None = None
        self.last_order_s = -math.inf
        self.on_unload: OnUnload = _ignore_unload
        self._instance_id = instance_id
        self._sender = sender

    def may_send(self) -> bool:
        """Return whether an order may be sent now."""
        return self.term is not None and self.term.may_order(boot_clock.now())

    def require_term(self) -> lease_term.LeaseTerm:
        """Return the current lease term, or raise PlacementError."""
        now_s = boot_clock.now()
        term = self.term
        if term is None:
            raise placement_status.PlacementError(
                'this instance does not hold the order lease', RETRY_S
            )
        if not term.may_order(now_s):
            raise placement_status.PlacementError(
                'the lease term has not begun or has ended',
                max(MIN_RETRY_S, term.orders_start_s() - now_s),
            )
        return term

    async def send(
        self,
        state: server_state.ServerState,
        action: order.Action,
        model: ids.ModelName,
        adapter: ids.AdapterName | None,
        duration_s: float,
    ) -> None:
        """Send an order that takes duration_s, or raise PlacementError."""
        term = self.require_term()
        if state.orders_taken is None:
            raise placement_status.PlacementError(
                'the contents of the server are unknown', RETRY_S
            )
        sent_order = order.Order(
            action=action,
            model=model,
            adapter=adapter,
            orders_taken=state.orders_taken,
            holder=self._instance_id,
            fence=ids.Fence(term.fence),
        )
        outcomes = await self._send_until_known(state, sent_order)
        self._apply_outcome(state, sent_order, outcomes[-1], duration_s)
        if outcomes[-1] not in TAKEN:
            raise _order_error(outcomes)

    async def _send_until_known(
        self,
        state: server_state.ServerState,
        sent_order: order.Order,
    ) -> list[order.Outcome]:
        """Return the outcomes of at most MAX_SENDS sends, the last one known.

        Retries are safe: because of the order count, a server accepts only one
        of the copies and rejects those that arrive later.
        """
        outcomes = [await self._send_once(state, sent_order)]
        while (
            outcomes[-1] is order.Outcome.unknown
            and len(outcomes) < MAX_SENDS
            and self.may_send()
        ):
            outcomes.append(await self._send_once(state, sent_order))
        return outcomes

    async def _send_once(
        self,
        state: server_state.ServerState,
        sent_order: order.Order,
    ) -> order.Outcome:
        self._record_send_time(state)
        outcome = await self._sender.send(
            state.registration, sent_order, self.may_send
        )
        self._record_send_time(state)
        logs.event(
            'order',
            server=state.registration.server_id,
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
        state: server_state.ServerState,
        sent_order: order.Order,
        outcome: order.Outcome,
        duration_s: float,
    ) -> None:
        now_s = boot_clock.now()
        if outcome in ANSWERED:
            state.record_reached()
        if outcome is order.Outcome.accepted:
            state.apply_order(sent_order, now_s, now_s + duration_s)
            if (
                sent_order.action is order.Action.unload
                and not sent_order.adapter
            ):
                self.on_unload(
                    state.registration.server_id,
                    need.Need(state.registration.service, sent_order.model),
                )
            return
        if outcome is order.Outcome.done:
            state.apply_order(sent_order, now_s, now_s)
            state.finish_order()
            return
        if outcome is order.Outcome.unsent:
            state.record_unreachable(now_s)
        else:
            state.invalidate()

    def _record_send_time(self, state: server_state.ServerState) -> None:
        state.last_order_s = boot_clock.now()
        self.last_order_s = state.last_order_s


def _order_error(
    outcomes: list[order.Outcome],
) -> placement_status.PlacementError:
    """Return the error for an order that no send is known to have placed."""
    reason = f'order: {outcomes[-1].value}'
    if order.Outcome.unknown not in outcomes:
        return placement_status.PlacementError(reason, RETRY_S)
    return placement_status.OrderUnanswered(
        reason,
        RETRY_S,
        # A conflict shows that the server's order count has advanced, so that
        # it rejects all copies that arrive later.
        open_=outcomes[-1] is not order.Outcome.conflict,
    )


def _ignore_unload(server_id: ids.ServerId, unloaded: need.Need) -> None:
    """Ignore an unload, as long as no listener is set."""
