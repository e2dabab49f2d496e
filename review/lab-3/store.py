"""Stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import wire

EXPIRY_INTERVAL_S = 0.02
PAGE_ITEMS = 500
PROTECTED_PREFIXES = ('op/', 'servers/')


class Store:
    """Linearizable store with leases, watches and one revision counter."""

    def __init__(self):
        self.address = ''
        self.revision = 1
        self._items = {}
        self._history = []
        self._lease_ends_s = {}
        self._lease_ttl_s = {}
        self._next_lease = 1000
        self._changed = asyncio.Event()
        self._server = wire.Server(self._answer)

    async def start(self, host):
        """Listen on a free port."""
        await self._server.start(host)
        self.address = f'{host}:{self._server.port}'
        self._expiring = asyncio.ensure_future(self._expire())

    def silence_open_connections(self):
        """Answer nothing more on the connections that are open now.

        They are not reset, and new ones work.
        """
        return self._server.silence_open_connections()

    def put(self, key, message):
        """Write as the operator or a worker; return the revision."""
        self._set(key, json.dumps(message).encode(), 0)
        return self.revision

    def remove(self, key):
        """Remove as the operator or a worker."""
        if key in self._items:
            self._record(key, None, 0)

    def get(self, key):
        """Return a decoded value or None."""
        item = self._items.get(key)
        return None if item is None else json.loads(item['bytes'])

    def keys(self, prefix):
        """Return the keys with a prefix."""
        return [key for key in self._items if key.startswith(prefix)]

    def _set(self, key, value, lease):
        self._record(key, value, lease)

    def _record(self, key, value, lease, revision=None):
        if revision is None:
            self.revision += 1
            revision = self.revision
        if value is None:
            self._items.pop(key, None)
            event = {'key': key, 'revision': revision, 'tombstone': True}
        else:
            known = self._items.get(key)
            created = known['created_rev'] if known else revision
            self._items[key] = {
                'key': key,
                'bytes': value,
                'revision': revision,
                'created_rev': created,
                'lease': lease,
            }
            event = _encode(self._items[key])
        self._history.append((revision, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now_s = time.monotonic()
            for lease, ends_s in list(self._lease_ends_s.items()):
                if ends_s <= now_s:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self._lease_ends_s.pop(lease, None)
        for key in [k for k, i in self._items.items() if i['lease'] == lease]:
            self._record(key, None, 0)

    async def _answer(self, request):
        split = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(split.query).items()}
        path = split.path
        if path == '/kv-key':
            return self._read(query)
        if path == '/kv-range':
            return self._range(query)
        if path == '/kv-watch':
            return await self._watch(query)
        body = json.loads(request.body) if request.body else {}
        if path == '/kv-txn':
            return self._write(body)
        if path == '/kv-lease':
            return self._grant(body)
        if path.startswith('/kv-keep/'):
            return self._keep(int(path.rsplit('/', 1)[1]))
        if path.startswith('/kv-lease-end/'):
            self._end_lease(int(path.rsplit('/', 1)[1]))
            return wire.json_answer(200, {})
        return wire.json_answer(404, {})

    def _read(self, query):
        item = self._items.get(query['key'])
        if item is None:
            return wire.json_answer(404, {'store_revision': self.revision})
        return wire.json_answer(
            200, {**_encode(item), 'store_revision': self.revision}
        )

    def _range(self, query):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        return wire.json_answer(
            200,
            {
                'items': [_encode(self._items[k]) for k in keys[:PAGE_ITEMS]],
                'has_more': len(keys) > PAGE_ITEMS,
                'store_revision': self.revision,
            },
        )

    async def _watch(self, query):
        prefix, after = query.get('prefix', ''), int(query['after'])
        ends_s = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            events = [
                event
                for revision, event in self._history
                if revision > after and event['key'].startswith(prefix)
            ]
            left_s = ends_s - time.monotonic()
            if events or left_s <= 0:
                return wire.json_answer(
                    200, {'events': events, 'store_revision': self.revision}
                )
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _write(self, body):
        conflicts = []
        for row in body.get('expected', []):
            item = self._items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                conflicts.append(row['key'])
        if conflicts:
            present = [self._items[k] for k in conflicts if k in self._items]
            return wire.json_answer(412, {'items': list(map(_encode, present))})
        rows = body.get('set_keys', [])
        names = [row['key'] for row in rows] + body.get('remove', [])
        if any(name.startswith(PROTECTED_PREFIXES) for name in names):
            return wire.json_answer(403, {})
        if any(
            r['lease'] and r['lease'] not in self._lease_ends_s for r in rows
        ):
            return wire.json_answer(404, {})
        self.revision += 1
        for row in rows:
            value = base64.b64decode(row['value'])
            self._record(row['key'], value, row['lease'], self.revision)
        for key in body.get('remove', []):
            if key in self._items:
                self._record(key, None, 0, self.revision)
        return wire.json_answer(200, {'revision': self.revision})

    def _grant(self, body):
        self._next_lease += 1
        ttl_s = max(1.0, min(600.0, body['ttl_ms'] / 1000))
        self._lease_ttl_s[self._next_lease] = ttl_s
        self._lease_ends_s[self._next_lease] = time.monotonic() + ttl_s
        return wire.json_answer(
            200, {'lease': self._next_lease, 'ttl_ms': int(ttl_s * 1000)}
        )

    def _keep(self, lease):
        if lease not in self._lease_ends_s:
            return wire.json_answer(404, {})
        ttl_s = self._lease_ttl_s[lease]
        self._lease_ends_s[lease] = time.monotonic() + ttl_s
        return wire.json_answer(200, {'ttl_ms': int(ttl_s * 1000)})


def _encode(item):
    encoded = {name: item[name] for name in item if name != 'bytes'}
    encoded['value'] = base64.b64encode(item['bytes']).decode()
    return encoded
