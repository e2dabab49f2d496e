"""Configuration of the small deployment that the cases use."""

MODELS = tuple(f'model-{number}' for number in range(1, 6))
WORDBAY = 'wordbay'
DESKCORE = 'deskcore'
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


def model_service(
    slots: int,
    models: tuple[str, ...] = MODELS,
    loads_per_s: float = 1.4,
) -> dict:
    """Return the service of the model servers."""
    return {
        'name': WORDBAY,
        'health_path': '/healthz',
        'max_conns': 370,
        'protocol': 'h1',
        'tls': False,
        'engine': {
            'slots': slots,
            'kv_capacity': 143878,
            'models': [
                {
                    'name': name,
                    'weights_mb': 65500.0,
                    'load_s': 1.2,
                    'adapters': 0,
                    'adapter_mb': 40.0,
                }
                for name in models
            ],
            'weights_mb': 70000.0,
            'max_adapters': 8,
            'loads_per_s': loads_per_s,
        },
    }


def plain_service(name: str) -> dict:
    """Return a plain service."""
    return {
        'name': name,
        'health_path': '/healthz',
        'max_conns': 110,
        'protocol': 'h1',
        'tls': False,
    }


def route(prefix: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of the host that clients use."""
    return {
        'name': f'r-{prefix.strip("/")}',
        'hostname': 'ficu95.example',
        'prefix': prefix,
        'kind': kind,
        'timeout_ms': 10000,
        'target_latency_ms': 4000,
        'priority': 2,
        'backend': service,
        'max_attempts': 1,
        **fields,
    }


def configuration(version: int, routes: list, services: list) -> dict:
    """Return a whole configuration."""
    return {
        'version': version,
        'routes': routes,
        'backends': services,
        'limits': LIMITS,
    }
