"""Define the query whether an entry instance still uses a replica."""

import msgspec

from oatcrank import ids


class IdleQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Name a replica and the plan version that must have been received."""

    pool: ids.PoolName
    version: int
    server: ids.ServerId
    model: ids.ModelName


class IdleReply(msgspec.Struct, frozen=True):
    """Answer whether the plan was received and the replica has no request."""

    idle: bool
