"""Header of a trace: its site and demand pattern."""

import msgspec

from oatcrank import ids
from oatcrank.configuration import profile

FORMAT = 'oatcrank-trace-1'


class TracePool(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A pool of equal servers; slots limits a server's concurrent requests."""

    name: ids.PoolName
    servers: int
    memory_mb: int
    slots: int


class TraceModel(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A model; memory_mb includes the memory reserved for its adapters."""

    name: ids.ModelName
    pool: ids.PoolName
    memory_mb: int
    prompt_tokens_per_s: float
    answer_tokens_per_s: float
    adapters: tuple[ids.AdapterName, ...] = ()


class TraceStore(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The weight store's limits; loads beyond them take longer."""

    loads_per_s: float
    concurrent_loads: int
    adapters_in_transit: int
    adapter_low_ms: float
    adapter_high_ms: float

    @property
    def load_s(self) -> float:
        """Return the duration of a load at full rate and concurrency."""
        return self.concurrent_loads / self.loads_per_s


class TraceHeader(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """All figures of a trace's site, with the reasons for some of them.

    pattern is the demand pattern; stated_attainment is the share of requests
    that must meet their targets.
    """

    format: str
    site: str
    region: str
    pattern: str = msgspec.field(name='spell')
    seed: int
    seconds: float
    failure_domains: tuple[ids.FailureDomain, ...]
    store: TraceStore
    pools: tuple[TracePool, ...]
    models: tuple[TraceModel, ...]
    profiles: tuple[profile.Profile, ...]
    reasons: dict[str, str]
    stated_attainment: float = 0
