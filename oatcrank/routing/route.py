"""Configuration of a deployment: its routes, services and models."""

import msgspec

from oatcrank import ids
from oatcrank.organisations import organisation
from oatcrank.transport import limits


class Share(msgspec.Struct, frozen=True):
    """A service and its share of a route's requests."""

    service: ids.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """How the requests of a host and path prefix are served.

    A repeatable request may run more than once; resumable streams are
    repeatable.  A request is sent to at most max_servers different servers, and
    its answer should begin within target_s.  Priority 0 is the most urgent.
    Callers abandon a stream whose next event does not arrive within patience_s.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    repeatable: bool
    streaming: bool
    max_servers: int
    timeout_s: float
    target_s: float
    priority: int
    patience_s: float | None = None
    # Served without a key, whatever organisations there are.
    public: bool = False

    @property
    def resumable(self) -> bool:
        """Return whether another server may continue a stream."""
        return self.repeatable and self.streaming


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """The memory that a model needs, and its load times by source."""

    name: ids.ModelName
    weights_mb: float
    adapter_mb: float
    store_load_s: float
    disk_load_s: float
    memory_load_s: float


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity of each of a service's model servers.

    store_loads_per_s limits the loads from the weight store by all servers of
    the service together.
    """

    model_by_name: dict[ids.ModelName, Model]
    weights_mb: float
    max_adapters: int
    store_loads_per_s: float


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service and its backend servers; plain services have no engine."""

    name: ids.ServiceName
    max_connections: int
    engine: Engine | None = None


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the operators' configuration.

    Without organisations (None) requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[ids.ServiceName, Service]
    limits: limits.Limits
    organisations: tuple[organisation.Organisation, ...] | None = None
