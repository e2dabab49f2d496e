"""Define a profile: a class of requests that callers select by name."""

import enum

import msgspec

from oatcrank import ids
from oatcrank.configuration import target


class Priority(enum.Enum):
    """Rank profiles for when capacity is short."""

    high = 'high'
    normal = 'normal'
    low = 'low'


class Profile(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Define the models, adapters, services and targets of a profile.

    at_most_once: a request must not run a second time.
    """

    name: ids.ProfileName
    models: tuple[ids.ModelName, ...] = ()
    adapters: tuple[ids.AdapterName, ...] = ()
    services: tuple[ids.ServiceName, ...] = ()
    targets: target.Targets
    at_most_once: bool = False
    priority: Priority = Priority.normal
