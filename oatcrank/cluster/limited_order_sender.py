"""Send orders to servers within the limits that they name."""

import asyncio
from collections.abc import Callable

from oatcrank import logs
from oatcrank.forwarding import server_limiter
from oatcrank.orders import order
from oatcrank.routing import server_registration, server_table

# Orders and reports wait longer for a permit than the requests of callers.
MAX_WAIT_S = 1.0


class LimitedOrderSender(order.OrderSender):
    """Take a permit of a server's limit for each order and report."""

    def __init__(
        self,
        sender: order.OrderSender,
        limiter: server_limiter.ServerLimiter,
    ) -> None:
        """Pass orders on to a sender, and the limits of answers back."""
        self._sender = sender
        self._limiter = limiter
        self.listen_for_limits(limiter.record_answer)

    def listen_for_limits(self, listener: order.LimitListener) -> None:
        """Report each limit that an answer of a server names."""
        self._sender.listen_for_limits(listener)

    def attach(self, servers: server_table.ServerTable) -> None:
        """Report to a table what answers say; send only where it allows."""
        self._sender.attach(servers)

    async def send(
        self,
        registration: server_registration.Registration,
        new_order: order.Order,
        may_send: Callable[[], bool],
    ) -> order.Outcome:
        """Send one order, if may_send still allows it just before the write."""
        if not await self._wait_for_permit(registration):
            return order.Outcome.unsent
        return await self._sender.send(registration, new_order, may_send)

    async def report(
        self, registration: server_registration.Registration
    ) -> order.Report | None:
        """Return a server's report, or None if it can't be read."""
        if not await self._wait_for_permit(registration):
            return None
        return await self._sender.report(registration)

    async def _wait_for_permit(
        self, registration: server_registration.Registration
    ) -> bool:
        permit = await self._limiter.reserve(registration, MAX_WAIT_S)
        if not permit.granted:
            logs.event(
                'order_delayed_by_limit',
                server=registration.server_id,
                wait_s=round(permit.wait_s, 3),
            )
            return False
        if permit.wait_s:
            await asyncio.sleep(permit.wait_s)
        return True
