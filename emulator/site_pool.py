"""Pool of a demo site."""

import msgspec

from oatcrank import ids

MEMORY_MB = 68_000
SLOTS = 8
TOKENS_PER_S = 40
FIRST_TOKEN_MS = 100


class SitePool(msgspec.Struct, frozen=True, kw_only=True):
    """Pool of identical engines, with its models and plain service."""

    name: ids.PoolName
    engines: int
    models: tuple[ids.ModelName, ...]
    service: ids.ServiceName = ids.ServiceName('')
    memory_mb: int = MEMORY_MB
    slots: int = SLOTS
    tokens_per_s: float = TOKENS_PER_S
    first_token_ms: float = FIRST_TOKEN_MS
