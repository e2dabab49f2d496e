"""Stand-in for a plain worker that behaves soundly."""

import asyncio
import json

import wire

HEARTBEAT_S = 1.2


class Worker:
    """Run each request at once, and keep registered."""

    def __init__(self, store, worker_id, service, zone='a', version='v1'):
        self.store, self.worker_id = store, worker_id
        self.service, self.zone, self.version = service, zone, version
        self.state = 'ready'
        self.work_s = 0.005
        self.runs = []
        self._server = wire.Server(self._answer)

    async def start(self, host):
        """Listen on a loopback address, and register."""
        await self._server.start(host)
        self.address = f'{host}:{self._server.port}'
        self.register()

    def register(self):
        """Write the entry; heartbeats don't change it and are left out."""
        self.store.put(
            f'servers/{self.worker_id}',
            {
                'backend': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': self.version,
                'slots': 64,
                'state': self.state,
                'cold_left_ms': 0,
                'stage': 'colocated',
                'models': [],
                'seq': 0,
                'born': 1700000000000,
            },
        )

    async def _answer(self, request):
        identity = {'X-Instance-Id': self.worker_id}
        expected = request.headers.get('x-expected-instance')
        if expected not in {None, self.worker_id}:
            return wire.encode_answer(421, identity)
        request_id = request.headers.get('x-request-id')
        if request_id is None:
            return wire.encode_answer(200, identity)
        self.runs.append((request_id, asyncio.get_running_loop().time()))
        await asyncio.sleep(self.work_s)
        return wire.encode_answer(
            200,
            {
                'X-Request-Id': request_id,
                'X-Response-Signature': f'{self.worker_id}.{request_id}',
                'X-Server-Load': '1,0,64',
                'Keep-Alive': 'timeout=5',
                **identity,
            },
            json.dumps({'worker': self.worker_id}).encode(),
        )


def route(name, prefix, service, kind='idempotent', **changes):
    """Return a route of the configuration."""
    return {
        'name': name,
        'hostname': 'host.example',
        'prefix': prefix,
        'kind': kind,
        'timeout_ms': 2000,
        'target_latency_ms': 300,
        'priority': 2,
        'backend': service,
        'max_attempts': 2,
        'sticky': False,
        'resumable': False,
        'gap_target_ms': 150,
        **changes,
    }


def configuration(version, routes, services):
    """Return a whole configuration."""
    return {
        'version': version,
        'routes': routes,
        'backends': [
            {
                'name': name,
                'health_path': '/healthz',
                'max_conns': 100,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }
