"""Configuration of the instance-list stand-in."""

import msgspec

from oatcrank.membership import instance_list


class InstanceListConfig(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Lag of the list and its initial instances."""

    lag_s: float = 0
    instances: tuple[instance_list.Instance, ...] = ()
