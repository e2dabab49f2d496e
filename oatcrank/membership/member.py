"""Describe an entry instance as its peers know it."""

import msgspec

from oatcrank import ids


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what peers must know; incarnation grows with every start."""

    instance_id: ids.InstanceId
    address: str
    failure_domain: ids.FailureDomain
    incarnation: int
    leaving: bool = False
