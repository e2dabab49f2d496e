"""Configure the instance-list stand-in."""

import msgspec

from oatcrank.membership import instance_list


class InstanceListConfig(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Give the lag, in seconds, and the list at the start."""

    lag_s: float = 0
    instances: tuple[instance_list.Instance, ...] = ()
