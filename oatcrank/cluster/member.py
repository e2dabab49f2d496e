"""Define the registration of an instance."""

import msgspec

from oatcrank import ids


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """Registration of an instance; addresses are `ip:port`.

    ready is true while callers may use the instance, and started_ms
    distinguishes restarts of its process. datagrams is the address for UDP
    messages, or empty if the instance accepts none.
    """

    instance_id: ids.InstanceId
    started_ms: int
    failure_domain: ids.FailureDomain
    region: str
    front: str
    peer: str
    ready: bool
    datagrams: str = ''
