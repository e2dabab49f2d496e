"""Handler for the orders to the engine stand-in."""

import asyncio
from http import HTTPStatus

import msgspec

from emulator import engine_handler
from oatcrank.engines import order


class StaleFence(msgspec.Struct, frozen=True):
    """Answer to an order with a stale fence: the engine's fence."""

    fence: int


class OrderAccepted(msgspec.Struct, frozen=True):
    """Empty answer to an accepted order."""


class OrdersHandler(engine_handler.EngineHandler):
    """Handler that accepts an order and answers before it has run."""

    async def post(self) -> None:
        """Accept an order, or answer 409 if its fence is stale."""
        received_order = self.decode(order.Order)
        await asyncio.sleep(self._engine.faults.current.hang_s)
        if self._engine.orders.has_stale_fence(received_order):
            self.answer(
                StaleFence(self._engine.orders.fence), HTTPStatus.CONFLICT
            )
            return
        self._engine.orders.submit(received_order)
        if self._engine.faults.consume('lose_order_answers'):
            self.cut()
        else:
            self.answer(OrderAccepted())
