"""Name who holds the order lease."""

import msgspec

from oatcrank import ids


class Holding(msgspec.Struct, frozen=True, kw_only=True):
    """Name the holder of the order lease, and where to ask it."""

    instance_id: ids.InstanceId
    started_ms: int
    peer: str
    fence: ids.Fence
