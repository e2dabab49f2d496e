"""Define the orders that load and unload models and adapters."""

import enum

import msgspec

from oatcrank import ids


class OrderKind(enum.Enum):
    """Change that an order requests."""

    load_model = 'load_model'
    unload_model = 'unload_model'
    load_adapter = 'load_adapter'
    unload_adapter = 'unload_adapter'
    change_role = 'change_role'


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """Order for one change; each new controller uses a higher fence."""

    order_id: ids.OrderId
    fence: ids.Fence
    kind: OrderKind
    model: ids.ModelName
    adapter: ids.AdapterName = ids.AdapterName('')
    role: str = ''
