"""Define what an instance depends on."""

import msgspec

from oatcrank.cluster import codec, store
from oatcrank.forwarding import wire_protocol
from oatcrank.orders import order
from oatcrank.transport import process_budget


class InstanceDependencies(msgspec.Struct, frozen=True, kw_only=True):
    """Implementations of the interfaces that an instance depends on."""

    store: store.Store
    codec: codec.Codec
    wire_protocol: wire_protocol.WireProtocol
    sender: order.OrderSender
    budget: process_budget.ProcessBudget
