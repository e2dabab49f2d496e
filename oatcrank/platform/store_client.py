"""Call the platform's store."""

import base64
import http
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from oatcrank import errors, ids, logs
from oatcrank.cluster import store
from oatcrank.platform import store_words
from oatcrank.transport import calls

CALL_WITHIN_S = 1.5
# A watch that is answered later than this after its time has been lost.
WATCH_SLACK_S = 1.5
MILLISECONDS = 1000
SHOWN_BYTES = 200
OK = http.HTTPStatus.OK
NOT_DONE = frozenset(
    (
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        http.HTTPStatus.TOO_MANY_REQUESTS,
    )
)


Body = TypeVar('Body', bound=msgspec.Struct)


class PlatformStore(store.Store):
    """Keep values in the platform's store, a connection for each call."""

    def __init__(self, address: str) -> None:
        """Call the store at `ip:port`."""
        self._address = address

    async def read(self, key: str) -> store.Item | None:
        """Return a key's newest value."""
        called = await self._read('/kv-key', {'key': key})
        if called.status == http.HTTPStatus.NOT_FOUND:
            return None
        return _item(_decoded(called, store_words.Item))

    async def read_all(self) -> store.Snapshot:
        """Return all items, from pages that are not a snapshot.

        The revision is the first page's, so that a watch from there tells
        again what changed while the pages were read.
        """
        items: list[store.Item] = []
        page = await self._page('')
        revision = page.store_revision
        items.extend(map(_item, page.items))
        while page.has_more and page.items:
            page = await self._page(page.items[-1].key)
            items.extend(map(_item, page.items))
        return store.Snapshot(
            items=tuple(items),
            revision=ids.Revision(revision),
        )

    async def watch(self, after: ids.Revision, wait_s: float) -> store.Changes:
        """Return changes after a revision, or raise HistoryLost."""
        called = await self._read(
            '/kv-watch',
            {
                'prefix': '',
                'after': str(after),
                'wait_ms': str(int(wait_s * MILLISECONDS)),
            },
            within_s=wait_s + WATCH_SLACK_S,
        )
        if called.status == http.HTTPStatus.GONE:
            raise store.HistoryLost(f'after {after}')
        told = _decoded(called, store_words.Events)
        return store.Changes(
            items=tuple(map(_item, told.events)),
            revision=ids.Revision(told.store_revision),
        )

    async def write(self, one: store.Write) -> ids.Revision:
        """Write, or raise Moved or LeaseEnded."""
        body = store_words.Transaction(
            expected=[
                store_words.Expected(key, revision)
                for key, revision in one.expected.items()
            ],
            set_keys=[
                store_words.Set(
                    key,
                    base64.b64encode(written).decode(),
                    one.leased if key in one.leased_keys else store.NO_LEASE,
                )
                for key, written in one.value_by_key.items()
            ],
            remove=list(one.removed),
        )
        called = await self._write(
            'POST',
            '/kv-txn',
            msgspec.json.encode(body),
        )
        if called.status == http.HTTPStatus.PRECONDITION_FAILED:
            raise store.Moved(', '.join(one.expected))
        if called.status == http.HTTPStatus.NOT_FOUND:
            raise store.LeaseEnded(str(one.leased))
        return ids.Revision(_decoded(called, store_words.Written).revision)

    async def grant(self, term_s: float) -> store.LeaseId:
        """Begin a lease."""
        body = msgspec.json.encode({'ttl_ms': int(term_s * MILLISECONDS)})
        called = await self._write('POST', '/kv-lease', body)
        return _decoded(called, store_words.Granted).lease

    async def keep(self, lease: store.LeaseId, within_s: float) -> None:
        """Renew a lease or raise LeaseEnded."""
        called = await self._write(
            'POST',
            f'/kv-keep/{lease}',
            within_s=within_s,
        )
        if called.status == http.HTTPStatus.NOT_FOUND:
            raise store.LeaseEnded(str(lease))
        if called.status != OK:
            raise errors.UnknownOutcome(f'keep: status {called.status}')

    async def end(self, lease: store.LeaseId) -> None:
        """End a lease and remove its keys."""
        await self._write('DELETE', f'/kv-lease-end/{lease}')

    async def _page(self, after_key: str) -> store_words.Page:
        query = {'prefix': ''}
        if after_key:
            query['after'] = after_key
        return _decoded(await self._read('/kv-range', query), store_words.Page)

    async def _read(
        self,
        path: str,
        query: dict[str, str],
        within_s: float = CALL_WITHIN_S,
    ) -> calls.Called:
        """Make a call that changes nothing: any failure is Unavailable."""
        target = f'{path}?{urlencode(query)}'
        try:
            called = await calls.call(
                self._address,
                calls.Call(method='GET', target=target),
                within_s,
            )
        except errors.BackendError as error:
            raise errors.Unavailable(f'{path}: {error}') from error
        _check_done(path, called)
        return called

    async def _write(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        within_s: float = CALL_WITHIN_S,
    ) -> calls.Called:
        try:
            called = await calls.call(
                self._address,
                calls.Call(method=method, target=path, body=body),
                within_s,
            )
        except errors.NotStarted as error:
            raise errors.Unavailable(f'{path}: {error}') from error
        except errors.Interrupted as error:
            raise errors.UnknownOutcome(f'{path}: {error}') from error
        _check_done(path, called)
        return called


def _check_done(path: str, called: calls.Called) -> None:
    if called.status in NOT_DONE:
        raise errors.Unavailable(f'{path}: status {called.status}')


def _decoded(called: calls.Called, expected: type[Body]) -> Body:
    if called.status != OK:
        raise errors.Unavailable(
            f'status {called.status}: {called.body[:SHOWN_BYTES]!r}',
        )
    try:
        return msgspec.json.decode(called.body, type=expected)
    except msgspec.MsgspecError as error:
        raise errors.Unavailable(f'unreadable answer: {error}') from error


def _item(told: store_words.Item) -> store.Item:
    return store.Item(
        key=told.key,
        value=None if told.tombstone else _bytes(told),
        revision=ids.Revision(told.revision),
    )


def _bytes(told: store_words.Item) -> bytes:
    try:
        return base64.b64decode(told.value or '', validate=True)
    except ValueError as error:
        logs.event('value_unreadable', key=told.key, error=error)
        return b''
