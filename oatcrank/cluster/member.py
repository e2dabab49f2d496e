"""Define the registration of an instance."""

import msgspec

from oatcrank import ids


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """Registration of an instance; addresses are `ip:port`.

    ready is true while callers may use the instance, and started_ms
    distinguishes restarts of its process. datagram_address is empty if the
    instance accepts no UDP messages.
    """

    instance_id: ids.InstanceId
    started_ms: int
    failure_domain: ids.FailureDomain
    region: str
    caller_address: str = msgspec.field(name='front')
    peer_address: str = msgspec.field(name='peer')
    ready: bool
    datagram_address: str = msgspec.field(name='datagrams', default='')
