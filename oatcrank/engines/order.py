"""Describe an order that changes what a model engine holds."""

import enum

import msgspec

from oatcrank import ids


class OrderKind(enum.Enum):
    """Say what an order asks for."""

    load_model = 'load_model'
    unload_model = 'unload_model'
    load_adapter = 'load_adapter'
    unload_adapter = 'unload_adapter'
    change_role = 'change_role'


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """Ask an engine for one change; fence grows with every controller."""

    order_id: ids.OrderId
    fence: ids.Fence
    kind: OrderKind
    model: ids.ModelName
    adapter: ids.AdapterName = ids.AdapterName('')
    role: str = ''
