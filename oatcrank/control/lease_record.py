"""Define the stored form of a lease."""

import msgspec

from oatcrank import ids


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Identify the holder of a lease; fence grows with every takeover.

    heartbeat grows with every renewal.  The token distinguishes processes with
    the same instance id.
    """

    holder: ids.InstanceId
    incarnation: int
    token: str
    fence: ids.Fence = msgspec.field(name='epoch')
    heartbeat: int = msgspec.field(name='beat')
    released: bool = False
