"""Define the description of an entry instance that its peers receive."""

import msgspec

from oatcrank import ids


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """Description of an entry instance; incarnation grows with every start."""

    instance_id: ids.InstanceId
    address: str
    failure_domain: ids.FailureDomain
    incarnation: int
    leaving: bool = False
