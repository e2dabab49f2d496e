"""Describe the site and the spell that a trace was recorded for."""

import msgspec

from oatcrank import ids
from oatcrank.configuration import profile

FORMAT = 'oatcrank-trace-1'


class TracePool(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Describe a pool of like servers; slots bound requests at once."""

    name: ids.PoolName
    servers: int
    memory_mb: int
    slots: int


class TraceModel(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Describe a model; memory includes the room kept for its adapters."""

    name: ids.ModelName
    pool: ids.PoolName
    memory_mb: int
    prompt_tokens_per_s: float
    answer_tokens_per_s: float
    adapters: tuple[ids.AdapterName, ...] = ()


class TraceStore(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Describe the weight store; beyond its limits loads take longer."""

    loads_per_s: float
    concurrent_loads: int
    adapters_in_transit: int
    adapter_low_ms: float
    adapter_high_ms: float

    @property
    def load_s(self) -> float:
        """Return how long a load lasts at full rate and concurrency."""
        return self.concurrent_loads / self.loads_per_s


class TraceHead(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Hold every figure of a trace's site, and the reasons of some."""

    format: str
    site: str
    region: str
    spell: str
    seed: int
    seconds: float
    failure_domains: tuple[ids.FailureDomain, ...]
    store: TraceStore
    pools: tuple[TracePool, ...]
    models: tuple[TraceModel, ...]
    profiles: tuple[profile.Profile, ...]
    reasons: dict[str, str]
    stated_attainment: float = 0
