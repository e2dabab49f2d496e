"""Serve a store in memory by the platform's protocol."""

import asyncio
import base64
import enum
import http
import json

from tornado import httpserver, netutil, web

from emulator import memory_store
from oatcrank import ids
from oatcrank.cluster import store

PAGE = 50


class Weather(enum.Enum):
    """Say how the served store behaves."""

    fair = 'fair'
    busy = 503
    many = 429
    silent = 'never answers'
    lost = 'writes without an answer'


class PlatformStoreServer:
    """Listen on loopback and answer as the platform's store does."""

    def __init__(self) -> None:
        """Hold nothing yet."""
        self.kept = memory_store.MemoryStore()
        self.weather = Weather.fair
        self.address = ''
        self._server: httpserver.HTTPServer | None = None

    def start(self) -> None:
        """Listen at a free port."""
        sockets = netutil.bind_sockets(0, '127.0.0.1')
        port = sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        own = {'served': self}
        self._server = httpserver.HTTPServer(
            web.Application(
                [
                    ('/kv-key', KeyHandler, own),
                    ('/kv-range', RangeHandler, own),
                    ('/kv-watch', WatchHandler, own),
                    ('/kv-txn', TransactionHandler, own),
                    ('/kv-lease', LeaseHandler, own),
                    (r'/kv-keep/(\d+)', KeepHandler, own),
                    (r'/kv-lease-end/(\d+)', EndHandler, own),
                ],
            ),
        )
        self._server.add_sockets(sockets)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()


class _Handler(web.RequestHandler):
    """Share what all calls have in common."""

    def initialize(self, served: PlatformStoreServer) -> None:
        """Answer for one store."""
        self.served = served
        self.kept = served.kept

    async def prepare(self) -> None:
        """Behave as the weather is."""
        weather = self.served.weather
        if weather is Weather.silent:
            await asyncio.Event().wait()
        if isinstance(weather.value, int):
            self.set_status(weather.value)
            await self.finish()

    async def say(self, told: dict) -> None:
        """Answer, but where the answer is to be lost."""
        if self.served.weather is Weather.lost:
            self.detach().close()
            return
        await self.finish(json.dumps(told))


class KeyHandler(_Handler):
    """Answer reads of one key."""

    async def get(self) -> None:
        """Return the item, or 404."""
        self.kept.expire()
        item = self.kept.item_by_key.get(self.get_query_argument('key'))
        if item is None:
            self.set_status(http.HTTPStatus.NOT_FOUND)
            return
        await self.say(_told(item))


class RangeHandler(_Handler):
    """Answer reads of a prefix, page by page."""

    async def get(self) -> None:
        """Return a page."""
        prefix = self.get_query_argument('prefix')
        after = self.get_query_argument('after', '')
        items = [
            item
            for item in self.kept.items()
            if item.key.startswith(prefix) and item.key > after
        ]
        await self.say(
            {
                'items': [_told(item) for item in items[:PAGE]],
                'has_more': len(items) > PAGE,
                'store_revision': self.kept.revision,
            },
        )


class WatchHandler(_Handler):
    """Answer watches."""

    async def get(self) -> None:
        """Return changes as soon as there are any, or 410."""
        loop = asyncio.get_running_loop()
        wait_s = int(self.get_query_argument('wait_ms')) / 1000
        ends_s = loop.time() + wait_s
        after = int(self.get_query_argument('after'))
        while True:
            try:
                found = self.kept.after(after)
            except store.HistoryLost:
                self.set_status(http.HTTPStatus.GONE)
                return
            if found or loop.time() >= ends_s:
                break
            await asyncio.sleep(memory_store.LOOK_S)
        await self.say(
            {
                'events': [_told(item) for item in found],
                'store_revision': self.kept.revision,
            },
        )


class TransactionHandler(_Handler):
    """Answer conditional writes."""

    async def post(self) -> None:
        """Write all or nothing."""
        asked = json.loads(self.request.body)
        leases = {row['lease'] for row in asked['set_keys'] if row['lease']}
        one = store.Transaction(
            expected_revision_by_key={
                row['key']: ids.Revision(row['revision'])
                for row in asked['expected']
            },
            value_by_key={
                row['key']: base64.b64decode(row['value'])
                for row in asked['set_keys']
            },
            lease_id=leases.pop() if leases else store.NO_LEASE,
            leased_keys=frozenset(
                row['key'] for row in asked['set_keys'] if row['lease']
            ),
            removed_keys=tuple(asked['remove']),
        )
        try:
            revision = self.kept.write(one)
        except store.RevisionConflict:
            self.set_status(http.HTTPStatus.PRECONDITION_FAILED)
            return
        except store.LeaseEnded:
            self.set_status(http.HTTPStatus.NOT_FOUND)
            return
        await self.say({'revision': revision})


class LeaseHandler(_Handler):
    """Answer wishes for a lease."""

    async def post(self) -> None:
        """Begin a lease."""
        term_ms = json.loads(self.request.body)['ttl_ms']
        lease = self.kept.grant(term_ms / 1000)
        await self.say({'lease': lease, 'ttl_ms': term_ms})


class KeepHandler(_Handler):
    """Answer renewals."""

    async def post(self, number: str) -> None:
        """Renew a lease, or 404."""
        if not self.kept.keep(int(number)):
            self.set_status(http.HTTPStatus.NOT_FOUND)
            return
        await self.say({'ttl_ms': 0})


class EndHandler(_Handler):
    """Answer ends of leases."""

    async def delete(self, number: str) -> None:
        """End a lease."""
        self.kept.end(int(number))
        await self.say({})


def _told(item: store.Item) -> dict:
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
        'created_rev': item.revision,
        'lease': 0,
    }
