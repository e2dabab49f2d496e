"""Define the body of the instance list."""

import msgspec

from oatcrank.membership import instance_list


class Listing(msgspec.Struct, frozen=True):
    """Body of a read or a replacement of the instance list."""

    instances: tuple[instance_list.Instance, ...] = ()
