"""Define the record of a superseded controller."""

import msgspec

from oatcrank import ids


class SupersededController(msgspec.Struct, frozen=True, kw_only=True):
    """Identify a process that controlled a pool, and its fence.

    It may not have received the takeover and may still send its last orders.
    """

    controller: ids.InstanceId
    incarnation: int
    fence: ids.Fence
