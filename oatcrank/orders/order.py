"""Orders to backend servers, their outcomes and the servers' reports."""

import abc
import enum
from collections.abc import Callable

import msgspec

from oatcrank import ids
from oatcrank.routing import server_registration, server_table


class Action(enum.Enum):
    """What a server is ordered to do."""

    load = 'load'
    unload = 'unload'


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """One order; a server accepts it only at the count orders_taken."""

    action: Action
    model: ids.ModelName
    adapter: ids.AdapterName | None
    orders_taken: int
    holder: ids.InstanceId
    fence: ids.Fence


class Outcome(enum.Enum):
    """Outcome of an order."""

    accepted = 'accepted by the server'
    done = 'already in effect'
    conflict = 'another order is active or the order count differs'
    rejected = 'rejected by the server'
    misdirected = 'another server has the address'
    unsent = 'not sent'
    unknown = 'outcome unknown, it may still be carried out'


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """A server's report of its state, up to some hundred milliseconds old."""

    started_ms: int | None
    busy: bool
    orders_taken: int
    adapters_by_model: dict[ids.ModelName, tuple[ids.AdapterName, ...]]
    arriving_adapters: tuple[tuple[ids.ModelName, ids.AdapterName], ...] = ()


# Called with the requests a second that the server of an answer takes, and with
# the monotonic time at which the call was sent.
LimitListener = Callable[[server_registration.Registration, float, float], None]


class OrderSender(abc.ABC):
    """Interface to send orders to backend servers and read their reports."""

    @abc.abstractmethod
    def listen_for_limits(self, listener: LimitListener) -> None:
        """Report each limit that an answer of a server names."""

    @abc.abstractmethod
    def attach(self, servers: server_table.ServerTable) -> None:
        """Report to a table what answers say; send only where it allows."""

    @abc.abstractmethod
    async def send(
        self,
        registration: server_registration.Registration,
        new_order: Order,
        may_send: Callable[[], bool],
    ) -> Outcome:
        """Send one order, if may_send still allows it just before the write."""

    @abc.abstractmethod
    async def report(
        self, registration: server_registration.Registration
    ) -> Report | None:
        """Return a server's report, or None if it can't be read."""
