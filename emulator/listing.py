"""Hold the platform's instance list as it is sent."""

import msgspec

from oatcrank.membership import instance_list


class Listing(msgspec.Struct, frozen=True):
    """Hold the list as it is answered and set."""

    instances: tuple[instance_list.Instance, ...] = ()
