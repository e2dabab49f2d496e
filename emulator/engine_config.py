"""Configuration of the engine stand-in."""

import msgspec


class EngineConfig(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Size and speed of an engine; weight_store is `ip:port`."""

    server_id: str
    pool: str
    weight_store: str
    memory_mb: int
    slots: int
    tokens_per_s: float
    first_token_ms: float
    prefix_hit_share: float = 0.4
    prefixes_kept: int = 64
    queue_limit: int = 64
    checks_fencing: bool = True
    report_lag_ms: float = 0
