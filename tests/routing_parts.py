"""Build servers and configurations for tests."""

from oatcrank.routing import route, server, server_registration, server_table
from oatcrank.transport import limits

SERVICE = 'words'


def registration(number: int, **changes) -> server_registration.Registration:
    """Return the registration of a server."""
    fields = {
        'server_id': f'server-{number}',
        'started_ms': 1000 + number,
        'service': SERVICE,
        'host': '127.0.0.1',
        'port': 20000 + number,
        'failure_domain': 'north',
        'slots': 64,
        'leaving': False,
        **changes,
    }
    return server_registration.Registration(**fields)


def servers(count: int, **changes) -> list[server.Server]:
    """Return servers with equal attributes."""
    return [
        server.Server(registration(number, **changes))
        for number in range(count)
    ]


def table(
    *registrations: server_registration.Registration,
) -> server_table.ServerTable:
    """Return a table of registered servers."""
    registered = server_table.ServerTable()
    for entry in registrations:
        registered.put(entry)
    return registered


def model(name: str, weights_mb: float = 30.0, **changes) -> route.Model:
    """Return a model that loads from the store within a second."""
    fields = {
        'name': name,
        'weights_mb': weights_mb,
        'adapter_mb': 0.1,
        'store_load_s': 1.0,
        'disk_load_s': 0.5,
        'memory_load_s': 0.2,
        **changes,
    }
    return route.Model(**fields)


def engine(*models: route.Model, **changes) -> route.Engine:
    """Return an engine whose servers hold 100 MB of models."""
    fields = {
        'model_by_name': {entry.name: entry for entry in models},
        'weights_mb': 100.0,
        'max_adapters': 4,
        'store_loads_per_s': 2.0,
        **changes,
    }
    return route.Engine(**fields)


def a_route(**changes) -> route.Route:
    """Return a route to the service."""
    fields = {
        'name': 'route-1',
        'host': 'words.example',
        'prefix': '/words/',
        'shares': (route.Share(SERVICE, 1.0),),
        'repeatable': True,
        'streaming': False,
        'max_servers': 2,
        'timeout_s': 2.0,
        'target_s': 0.3,
        'priority': 1,
        **changes,
    }
    return route.Route(**fields)


def configuration(
    *routes: route.Route,
    version: int = 1,
    held: route.Engine | None = None,
) -> route.Configuration:
    """Return a configuration with one service."""
    return route.Configuration(
        version=version,
        routes=routes,
        service_by_name={
            SERVICE: route.Service(
                name=SERVICE,
                max_connections=64,
                engine=held,
            ),
        },
        limits=limits.Limits(),
    )
