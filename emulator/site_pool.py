"""Describe one pool of a site."""

import msgspec

from oatcrank import ids


class SitePool(msgspec.Struct, frozen=True, kw_only=True):
    """Name a pool's models and its plain service, and count its engines."""

    name: ids.PoolName
    engines: int
    models: tuple[ids.ModelName, ...]
    service: ids.ServiceName
