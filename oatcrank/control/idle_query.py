"""Ask an entry instance whether it is done with a replica."""

import msgspec

from oatcrank import ids


class IdleQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Name a replica and the plan version that must have been seen."""

    pool: ids.PoolName
    version: int
    server: ids.ServerId
    model: ids.ModelName


class IdleReply(msgspec.Struct, frozen=True):
    """Say whether the plan was seen and nothing runs on the replica."""

    idle: bool
