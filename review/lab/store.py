"""Stand-in for the platform's metadata store."""

import asyncio
import base64
import copy
import dataclasses
import itertools
import json
import time
from collections.abc import Callable
from urllib.parse import parse_qs

from lab import wire

PAGE_ITEMS = 500
ANSWER_DELAY_S = 0.004
POLL_S = 0.01

Answer = tuple[int, dict]


@dataclasses.dataclass
class Item:
    """A key as it was last written; value is None once it is removed."""

    key: str
    value: bytes | None
    revision: int
    created: int
    lease: int = 0


@dataclasses.dataclass
class Contents:
    """What a copy of the store holds."""

    revision: int = 1
    item_by_key: dict[str, Item] = dataclasses.field(default_factory=dict)
    ttl_s_by_lease: dict[int, float] = dataclasses.field(default_factory=dict)
    history: list[Item] = dataclasses.field(default_factory=list)


class Store:
    """Store with leases, watches and conditional writes."""

    def __init__(self, log: Callable[..., None]) -> None:
        """Start empty."""
        self.contents = Contents()
        self.era = 1
        self.is_away = False
        self.log = log
        self.address = ''
        self._ends_s_by_lease: dict[int, float] = {}
        self._lease_ids = itertools.count(71)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.cut_connections()

    def cut_connections(self) -> None:
        """Reset all open connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    # What the platform itself writes

    def put(self, key: str, body: dict) -> int:
        """Write a key as the operator or a backend server does."""
        return self._commit({key: (json.dumps(body).encode(), 0)}, ())

    def remove(self, key: str) -> None:
        """Remove a key of the operator or of a backend server."""
        self._commit({}, (key,))

    def take_copy(self) -> Contents:
        """Return a copy of the store as it is now."""
        return copy.deepcopy(self.contents)

    def return_from(self, older: Contents) -> None:
        """Come back from an older copy; leases start to run anew."""
        self.contents = copy.deepcopy(older)
        self.era += 1
        now_s = time.monotonic()
        self._ends_s_by_lease = {
            lease: now_s + ttl_s
            for lease, ttl_s in self.contents.ttl_s_by_lease.items()
        }

    # Changes

    def _commit(
        self, value_by_key: dict[str, tuple[bytes, int]], removed: tuple
    ) -> int:
        contents = self.contents
        contents.revision += 1
        for key, (value, lease) in value_by_key.items():
            known = contents.item_by_key.get(key)
            created = known.created if known else contents.revision
            self._record(Item(key, value, contents.revision, created, lease))
        for key in removed:
            if key in contents.item_by_key:
                self._record(Item(key, None, contents.revision, 0))
        return contents.revision

    def _record(self, item: Item) -> None:
        self.contents.history.append(item)
        if item.value is None:
            del self.contents.item_by_key[item.key]
        else:
            self.contents.item_by_key[item.key] = item
        self.log('store', key=item.key, revision=item.revision, era=self.era)

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease, ends_s in tuple(self._ends_s_by_lease.items()):
            if ends_s <= now_s:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> bool:
        if self._ends_s_by_lease.pop(lease, None) is None:
            return False
        self.contents.ttl_s_by_lease.pop(lease, None)
        keys = tuple(
            key
            for key, item in self.contents.item_by_key.items()
            if item.lease == lease
        )
        if keys:
            self._commit({}, keys)
        return True

    # Calls

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await wire.read_request(reader)) is not None:
                if self.is_away:
                    break
                await asyncio.sleep(ANSWER_DELAY_S)
                status, body = await self._answer(request)
                if self.is_away:
                    break
                writer.write(
                    wire.encode_response(
                        status,
                        {
                            'Content-Type': 'application/json',
                            'Store-Era': str(self.era),
                        },
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort() if self.is_away else writer.close()

    async def _answer(self, request: wire.Message) -> Answer:
        self._expire()
        query = {
            name: values[0]
            for name, values in parse_qs(
                request.target.partition('?')[2], keep_blank_values=True
            ).items()
        }
        body = json.loads(request.body) if request.body else {}
        if request.path == '/kv-key':
            return self._read_key(query['key'])
        if request.path == '/kv-range':
            return self._read_range(query)
        if request.path == '/kv-watch':
            return await self._watch(query)
        if request.path == '/kv-txn':
            return self._write(body)
        if request.path == '/kv-lease':
            return self._grant(body['ttl_ms'])
        lease = int(request.path.rpartition('/')[2])
        if request.path.startswith('/kv-keep/'):
            return self._keep(lease)
        if request.path.startswith('/kv-lease-end/'):
            return (200 if self._end_lease(lease) else 404), {}
        return 400, {}

    def _read_key(self, key: str) -> Answer:
        item = self.contents.item_by_key.get(key)
        if item is None:
            return 404, {}
        return 200, {
            **_encode(item),
            'store_revision': self.contents.revision,
        }

    def _read_range(self, query: dict[str, str]) -> Answer:
        items = [
            item
            for key, item in sorted(self.contents.item_by_key.items())
            if key.startswith(query['prefix']) and key > query.get('after', '')
        ]
        return 200, {
            'items': [_encode(item) for item in items[:PAGE_ITEMS]],
            'has_more': len(items) > PAGE_ITEMS,
            'store_revision': self.contents.revision,
        }

    async def _watch(self, query: dict[str, str]) -> Answer:
        after = int(query['after'])
        era = self.era
        ends_s = time.monotonic() + int(query['wait_ms']) / 1000
        if after > self.contents.revision:
            return 410, {}
        while True:
            self._expire()
            events = [
                _encode(item)
                for item in self.contents.history
                if item.revision > after
            ]
            is_over = self.is_away or self.era != era
            if events or is_over or time.monotonic() >= ends_s:
                break
            await asyncio.sleep(POLL_S)
        return 200, {
            'events': events,
            'store_revision': self.contents.revision,
        }

    def _write(self, body: dict) -> Answer:
        expected = body.get('expected', [])
        items = [self.contents.item_by_key.get(row['key']) for row in expected]
        for row, item in zip(expected, items, strict=True):
            if (item.revision if item else 0) != row['revision']:
                found = [_encode(known) for known in items if known]
                return 412, {'items': found}
        rows = body.get('set_keys', [])
        for row in rows:
            if row['lease'] and row['lease'] not in self._ends_s_by_lease:
                return 404, {}
        revision = self._commit(
            {
                row['key']: (base64.b64decode(row['value']), row['lease'])
                for row in rows
            },
            tuple(body.get('remove', [])),
        )
        return 200, {'revision': revision}

    def _grant(self, ttl_ms: int) -> Answer:
        lease = next(self._lease_ids)
        self.contents.ttl_s_by_lease[lease] = ttl_ms / 1000
        self._ends_s_by_lease[lease] = time.monotonic() + ttl_ms / 1000
        return 200, {'lease': lease, 'ttl_ms': ttl_ms}

    def _keep(self, lease: int) -> Answer:
        ttl_s = self.contents.ttl_s_by_lease.get(lease)
        if ttl_s is None:
            return 404, {}
        self._ends_s_by_lease[lease] = time.monotonic() + ttl_s
        return 200, {'ttl_ms': int(ttl_s * 1000)}


def _encode(item: Item) -> dict:
    if item.value is None:
        return {
            'key': item.key,
            'revision': item.revision,
            'tombstone': True,
        }
    return {
        'key': item.key,
        'value': base64.b64encode(item.value).decode(),
        'revision': item.revision,
        'created_rev': item.created,
        'lease': item.lease,
    }
