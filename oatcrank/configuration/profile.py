"""Describe a class of work that operators name and callers pick."""

import enum

import msgspec

from oatcrank import ids
from oatcrank.configuration import target


class Priority(enum.Enum):
    """Order the profiles when not all can be served in time."""

    high = 'high'
    normal = 'normal'
    low = 'low'


class Profile(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Name the models, adapters, services, targets and repeatability."""

    name: ids.ProfileName
    models: tuple[ids.ModelName, ...] = ()
    adapters: tuple[ids.AdapterName, ...] = ()
    services: tuple[ids.ServiceName, ...] = ()
    targets: target.Targets
    at_most_once: bool = False
    priority: Priority = Priority.normal
