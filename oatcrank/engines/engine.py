"""Describe what is assumed of a model engine, beside streaming answers."""

import abc

import msgspec

from oatcrank import ids
from oatcrank.engines import order


class Held(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a model that an engine holds or is loading."""

    model: ids.ModelName
    memory_mb: int
    ready: bool
    running: int = 0
    queued: int = 0
    adapters: tuple[ids.AdapterName, ...] = ()


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an engine's memory and load; boot_id changes at a restart."""

    server_id: ids.ServerId
    boot_id: str
    memory_mb: int
    used_mb: int
    fence: ids.Fence
    slots: int
    running: int
    queued: int
    held: tuple[Held, ...] = ()
    leaving: bool = False


class ModelEngine(abc.ABC):
    """Order, report on and cancel the work of one model engine."""

    @abc.abstractmethod
    async def order(self, wanted: order.Order, *, timeout_s: float) -> None:
        """Take an order; its end shows in a later report.

        Raises errors.Conflict on an old fence, errors.Unavailable if the order
        surely was not taken and errors.UnknownOutcome if its answer was lost.
        """

    @abc.abstractmethod
    async def report(self, *, timeout_s: float) -> EngineReport:
        """Return the current report; raises errors.Unavailable."""

    @abc.abstractmethod
    async def cancel(self, request_id: ids.RequestId) -> None:
        """Stop a running request; raises errors.Unavailable."""
