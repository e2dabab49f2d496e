"""Take the orders of the engine stand-in."""

import asyncio
from http import HTTPStatus

import msgspec

from emulator import engine_handler
from oatcrank.engines import order


class OldFence(msgspec.Struct, frozen=True):
    """Say which fence an engine has seen."""

    fence: int


class Taken(msgspec.Struct, frozen=True):
    """Say that an order was taken."""


class OrdersHandler(engine_handler.EngineHandler):
    """Take orders and answer at once."""

    async def post(self) -> None:
        """Take one order."""
        wanted = self.decode(order.Order)
        await asyncio.sleep(self._engine.faults.current.hang_s)
        if self._engine.orders.is_old(wanted):
            self.answer(
                OldFence(self._engine.orders.fence), HTTPStatus.CONFLICT
            )
            return
        self._engine.orders.take(wanted)
        if self._engine.faults.take('lose_order_answers'):
            self.cut()
        else:
            self.answer(Taken())
