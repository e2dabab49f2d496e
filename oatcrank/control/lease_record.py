"""Describe a lease as the key-value service holds it."""

import msgspec

from oatcrank import ids


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold who has a lease; epoch grows with every takeover.

    The token tells one process from another of the same name.
    """

    holder: ids.InstanceId
    incarnation: int
    token: str
    epoch: ids.Fence
    beat: int
    released: bool = False
