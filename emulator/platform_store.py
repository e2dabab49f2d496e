"""Serve an in-process store over the platform's protocol."""

import asyncio
import base64
import enum
import http
import json

from tornado import httpserver, netutil, web

from emulator import memory_store
from oatcrank import ids
from oatcrank.cluster import store, store_eras

PAGE_ITEMS = 50


class StoreMode(enum.Enum):
    """How the server behaves; a number is the status of every answer."""

    normal = 'normal'
    unavailable = 503
    too_many_requests = 429
    no_answer = 'never answers'
    answer_lost = 'writes without an answer'


class PlatformStoreServer:
    """Server on loopback that answers as the platform's store does."""

    def __init__(self) -> None:
        """Start with an empty store."""
        self.store = memory_store.MemoryStore()
        self.mode = StoreMode.normal
        self.address = ''
        self._server: httpserver.HTTPServer | None = None

    def start(self) -> None:
        """Listen on a free port."""
        sockets = netutil.bind_sockets(0, '127.0.0.1')
        port = sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        arguments = {'server': self}
        self._server = httpserver.HTTPServer(
            web.Application(
                [
                    ('/kv-key', KeyHandler, arguments),
                    ('/kv-range', RangeHandler, arguments),
                    ('/kv-watch', WatchHandler, arguments),
                    ('/kv-txn', TransactionHandler, arguments),
                    ('/kv-lease', LeaseHandler, arguments),
                    (r'/kv-keep/(\d+)', LeaseRenewalHandler, arguments),
                    (r'/kv-lease-end/(\d+)', LeaseEndHandler, arguments),
                ],
            ),
        )
        self._server.add_sockets(sockets)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()


class _Handler(web.RequestHandler):
    """Base class for the handlers of the store's calls."""

    def initialize(self, server: PlatformStoreServer) -> None:
        """Set the server whose store is used."""
        self.server = server
        self.store = server.store
        self.set_header('Store-Era', str(self.store.era))

    async def prepare(self) -> None:
        """Withhold the answer or fail the call if the server is set to."""
        mode = self.server.mode
        if mode is StoreMode.no_answer:
            await asyncio.Event().wait()
        if isinstance(mode.value, int):
            self.set_status(mode.value)
            await self.finish()

    async def answer(self, body: dict) -> None:
        """Send the body as JSON, or close without an answer."""
        if self.server.mode is StoreMode.answer_lost:
            self.detach().close()
            return
        await self.finish(json.dumps(body))


class KeyHandler(_Handler):
    """Handler for reads of one key."""

    async def get(self) -> None:
        """Return the item, or 404."""
        self.store.expire()
        item = self.store.item_by_key.get(self.get_query_argument('key'))
        if item is None:
            self.set_status(http.HTTPStatus.NOT_FOUND)
            return
        await self.answer(_encode_item(item))


class RangeHandler(_Handler):
    """Handler for reads of all keys with a prefix, page by page."""

    async def get(self) -> None:
        """Return the next page."""
        prefix = self.get_query_argument('prefix')
        after = self.get_query_argument('after', '')
        items = [
            item
            for item in self.store.items()
            if item.key.startswith(prefix) and item.key > after
        ]
        await self.answer(
            {
                'items': [_encode_item(item) for item in items[:PAGE_ITEMS]],
                'has_more': len(items) > PAGE_ITEMS,
                'store_revision': _number(self.store.revision),
            },
        )


class WatchHandler(_Handler):
    """Handler for watches."""

    async def get(self) -> None:
        """Return changes once there are any; 410 if history is lost."""
        loop = asyncio.get_running_loop()
        wait_s = int(self.get_query_argument('wait_ms')) / 1000
        ends_s = loop.time() + wait_s
        number = int(self.get_query_argument('after'))
        after = store_eras.revision(self.store.era, number)
        while True:
            try:
                items = self.store.changes_after(after)
            except store.HistoryLost:
                self.set_status(http.HTTPStatus.GONE)
                return
            if items or loop.time() >= ends_s:
                break
            await asyncio.sleep(memory_store.POLL_INTERVAL_S)
        await self.answer(
            {
                'events': [_encode_item(item) for item in items],
                'store_revision': _number(self.store.revision),
            },
        )


class TransactionHandler(_Handler):
    """Handler for transactions."""

    async def post(self) -> None:
        """Apply a transaction; 412 on a conflict, 404 for an ended lease."""
        message = json.loads(self.request.body)
        leases = {row['lease'] for row in message['set_keys'] if row['lease']}
        transaction = store.Transaction(
            expected_revision_by_key={
                row['key']: self._revision(row['revision'])
                for row in message['expected']
            },
            value_by_key={
                row['key']: base64.b64decode(row['value'])
                for row in message['set_keys']
            },
            lease_id=(
                store_eras.lease(self.store.era, leases.pop())
                if leases
                else store.NO_LEASE
            ),
            leased_keys=frozenset(
                row['key'] for row in message['set_keys'] if row['lease']
            ),
            removed_keys=tuple(message['remove']),
        )
        try:
            revision = self.store.write(transaction)
        except store.RevisionConflict:
            self.set_status(http.HTTPStatus.PRECONDITION_FAILED)
            return
        except store.LeaseEnded:
            self.set_status(http.HTTPStatus.NOT_FOUND)
            return
        await self.answer({'revision': _number(revision)})

    def _revision(self, number: int) -> ids.Revision:
        if number == store.ABSENT:
            return store.ABSENT
        return store_eras.revision(self.store.era, number)


class LeaseHandler(_Handler):
    """Handler for grants of leases."""

    async def post(self) -> None:
        """Grant a lease."""
        term_ms = json.loads(self.request.body)['ttl_ms']
        lease = self.store.grant_lease(term_ms / 1000)
        number = store_eras.lease_number(lease)
        await self.answer({'lease': number, 'ttl_ms': term_ms})


class LeaseRenewalHandler(_Handler):
    """Handler for renewals of leases."""

    async def post(self, number: str) -> None:
        """Renew a lease; 404 if it has ended."""
        lease = store_eras.lease(self.store.era, int(number))
        if not self.store.renew_lease(lease):
            self.set_status(http.HTTPStatus.NOT_FOUND)
            return
        await self.answer({'ttl_ms': 0})


class LeaseEndHandler(_Handler):
    """Handler for the early end of leases."""

    async def delete(self, number: str) -> None:
        """End a lease."""
        self.store.end_lease(store_eras.lease(self.store.era, int(number)))
        await self.answer({})


def _number(revision: int) -> int:
    """Return the number that the store gives to a revision in its era."""
    return store_eras.revision_number(revision)


def _encode_item(item: store.Item) -> dict:
    if item.value is None:
        return {
            'key': item.key,
            'revision': _number(item.revision),
            'tombstone': True,
        }
    return {
        'key': item.key,
        'value': base64.b64encode(item.value).decode(),
        'revision': _number(item.revision),
        'created_rev': _number(item.revision),
        'lease': 0,
    }
