"""Define the configuration format of the platform's operator."""

import msgspec


class Split(msgspec.Struct):
    """Weight of a service in the traffic split of a route."""

    backend: str
    weight: float


class Route(msgspec.Struct):
    """Route definition."""

    name: str
    hostname: str
    prefix: str
    # 'idempotent', 'non_idempotent' or 'streaming'; any other kind is treated
    # as non_idempotent.
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000
    # From 0, the most urgent, to 9.
    priority: int = 5
    # The service of the route if traffic_split is empty.
    backend: str | None = None
    traffic_split: list[Split] = []
    max_attempts: int = 1
    resumable: bool = False
    # Longest gap between events of a stream that meets its target.
    gap_target_ms: float = 0
    # Served without a key.
    public: bool = False


class Model(msgspec.Struct):
    """Model that an engine can load."""

    name: str
    weights_mb: float
    load_s: float
    adapter_mb: float = 0
    warm_s: float | None = None
    disk_s: float | None = None


class Engine(msgspec.Struct):
    """Capacity and models of the workers of a service."""

    weights_mb: float
    max_adapters: int
    loads_per_s: float
    models: list[Model]


class Backend(msgspec.Struct):
    """Service definition."""

    name: str
    max_conns: int = 64
    engine: Engine | None = None


class Limits(msgspec.Struct):
    """Limits of callers' connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class Tenant(msgspec.Struct):
    """Organisation: its keys, its priority and its quota."""

    name: str
    api_keys: list[str] = []
    # Goes before the priority of routes.
    priority: int | None = None
    # 'tokens' or 'requests', which rate_per_s and burst count.
    unit: str = 'requests'
    # Tokens of a request that doesn't state its tokens.
    plain_tokens: float = 1
    # No limit if 0.
    rate_per_s: float = 0
    burst: float = 0


class Configuration(msgspec.Struct):
    """Complete configuration."""

    version: int
    routes: list[Route]
    backends: list[Backend]
    limits: Limits
    # None if the deployment serves requests without keys.
    tenants: list[Tenant] | None = None
