"""Describe an earlier controller that may still send its last orders."""

import msgspec

from oatcrank import ids


class Deposed(msgspec.Struct, frozen=True, kw_only=True):
    """Name the process that controlled a pool under a fence."""

    controller: ids.InstanceId
    incarnation: int
    fence: ids.Fence
