"""Describe orders to backend servers and what comes back."""

import abc
import enum
from collections.abc import Callable

import msgspec

from oatcrank import ids
from oatcrank.routing import server_registration


class Action(enum.Enum):
    """Say what a server is to do."""

    load = 'load'
    unload = 'unload'


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one order; orders_taken is the count that the server must have."""

    action: Action
    model: ids.ModelName
    adapter: ids.AdapterName | None
    orders_taken: int
    holder: ids.InstanceId
    fence: ids.Fence


class Outcome(enum.Enum):
    """Say what became of an order."""

    accepted = 'it is being carried out'
    done = 'it holds already'
    conflict = 'another is under way, or the count differs'
    rejected = 'the server will not do it'
    elsewhere = 'another server has the address'
    unsent = 'nothing was written'
    unknown = 'it may be carried out, now or later'


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a server says of itself, some hundred milliseconds old."""

    started_ms: int | None
    busy: bool
    orders_taken: int
    adapters_by_model: dict[ids.ModelName, tuple[ids.AdapterName, ...]]
    arriving_adapters: tuple[tuple[ids.ModelName, ids.AdapterName], ...] = ()


class OrderSender(abc.ABC):
    """Speak to one backend server about what it holds."""

    @abc.abstractmethod
    async def send(
        self,
        registration: server_registration.Registration,
        one: Order,
        may_send: Callable[[], bool],
    ) -> Outcome:
        """Send one order, unless it may no longer leave when it could."""

    @abc.abstractmethod
    async def report(
        self, registration: server_registration.Registration
    ) -> Report | None:
        """Return what a server says of itself, or None."""
