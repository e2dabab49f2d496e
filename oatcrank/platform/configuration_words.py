"""Spell a configuration as the platform's operator writes it."""

import msgspec


class Split(msgspec.Struct):
    """Give a service its part of a route."""

    backend: str
    weight: float


class Route(msgspec.Struct):
    """Hold a route as the operator writes it."""

    name: str
    hostname: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000
    priority: int = 5
    # The service that serves the route, where traffic_split names none.
    backend: str | None = None
    traffic_split: list[Split] = []
    max_attempts: int = 1
    resumable: bool = False
    # The longest pause between events for which a stream is on time.
    gap_target_ms: float = 0


class Model(msgspec.Struct):
    """Hold a model of an engine."""

    name: str
    weights_mb: float
    load_s: float
    adapter_mb: float = 0
    warm_s: float | None = None
    disk_s: float | None = None


class Engine(msgspec.Struct):
    """Hold what the workers of a service can hold."""

    weights_mb: float
    max_adapters: int
    loads_per_s: float
    models: list[Model]


class Backend(msgspec.Struct):
    """Hold a service."""

    name: str
    max_conns: int = 64
    engine: Engine | None = None


class Limits(msgspec.Struct):
    """Bound what a caller may send."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class Configuration(msgspec.Struct):
    """Hold the newest configuration in full."""

    version: int
    routes: list[Route]
    backends: list[Backend]
    limits: Limits
