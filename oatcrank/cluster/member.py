"""Describe an instance to the others."""

import msgspec

from oatcrank import ids


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what an instance registers; addresses are `ip:port`.

    ready tells whether callers may be sent there, and started_ms tells one
    start of the process from the next.  Datagrams are taken at an address of
    their own, if one is named.
    """

    instance_id: ids.InstanceId
    started_ms: int
    failure_domain: ids.FailureDomain
    region: str
    front: str
    peer: str
    ready: bool
    datagrams: str = ''
