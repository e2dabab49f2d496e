"""Define the interface of model engines, except streaming answers."""

import abc

import msgspec

from oatcrank import ids
from oatcrank.engines import order


class HeldModel(msgspec.Struct, frozen=True, kw_only=True):
    """Model that an engine holds or is loading."""

    model: ids.ModelName
    memory_mb: int
    ready: bool
    running: int = 0
    queued: int = 0
    adapters: tuple[ids.AdapterName, ...] = ()


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """Memory and load of an engine; boot_id changes with each restart."""

    server_id: ids.ServerId
    boot_id: str
    memory_mb: int
    used_mb: int
    fence: ids.Fence
    slots: int
    running: int
    queued: int
    held: tuple[HeldModel, ...] = ()
    leaving: bool = False


class ModelEngine(abc.ABC):
    """Interface for orders to one model engine and its reports."""

    @abc.abstractmethod
    async def order(self, new_order: order.Order, *, timeout_s: float) -> None:
        """Send an order; a later report shows its result.

        Raises errors.Conflict for an outdated fence, errors.Unavailable if the
        order was certainly not accepted and errors.UnknownOutcome if its answer
        was lost.
        """

    @abc.abstractmethod
    async def report(self, *, timeout_s: float) -> EngineReport:
        """Return the current report; raises errors.Unavailable."""

    @abc.abstractmethod
    async def cancel(self, request_id: ids.RequestId) -> None:
        """Stop a running request; raises errors.Unavailable."""
