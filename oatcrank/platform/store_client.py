"""Client of the platform's store."""

import base64
import http
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from oatcrank import errors, ids, logs
from oatcrank.cluster import store, store_metrics
from oatcrank.platform import store_messages
from oatcrank.transport import calls

CALL_TIMEOUT_S = 1.5
# A watch fails if its answer is later than its wait by more than this.
WATCH_SLACK_S = 1.5
MS_PER_S = 1000
MAX_SHOWN_BYTES = 200
OK = http.HTTPStatus.OK
NOT_EXECUTED_STATUSES = frozenset(
    (
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        http.HTTPStatus.TOO_MANY_REQUESTS,
    )
)


Body = TypeVar('Body', bound=msgspec.Struct)


class PlatformStore(store.Store):
    """Platform's store; opens a connection for each call."""

    def __init__(self, address: str) -> None:
        """Create a client for the store at `ip:port`."""
        self._address = address

    async def read(self, key: str) -> store.Item | None:
        """Return the newest value of a key."""
        response = await self._read('/kv-key', {'key': key})
        if response.status == http.HTTPStatus.NOT_FOUND:
            return None
        return _convert_item(_decode(response, store_messages.Item))

    async def read_all(self) -> store.Snapshot:
        """Return all items; pages are read at different revisions.

        The returned revision is that of the first page, so that a watch from
        there repeats the changes made while the pages were read.
        """
        items: list[store.Item] = []
        page = await self._read_page('')
        revision = page.store_revision
        items.extend(map(_convert_item, page.items))
        while page.has_more and page.items:
            page = await self._read_page(page.items[-1].key)
            items.extend(map(_convert_item, page.items))
        return store.Snapshot(
            items=tuple(items),
            revision=ids.Revision(revision),
        )

    async def watch(self, after: ids.Revision, wait_s: float) -> store.Changes:
        """Return changes after a revision, or raise HistoryLost."""
        response = await self._read(
            '/kv-watch',
            {
                'prefix': '',
                'after': str(after),
                'wait_ms': str(int(wait_s * MS_PER_S)),
            },
            timeout_s=wait_s + WATCH_SLACK_S,
        )
        if response.status == http.HTTPStatus.GONE:
            raise store.HistoryLost(f'after {after}')
        events = _decode(response, store_messages.Events)
        return store.Changes(
            items=tuple(map(_convert_item, events.events)),
            revision=ids.Revision(events.store_revision),
        )

    async def write(self, transaction: store.Transaction) -> ids.Revision:
        """Write, or raise RevisionConflict or LeaseEnded."""
        body = store_messages.Transaction(
            expected=[
                store_messages.Expected(key, revision)
                for key, revision in (
                    transaction.expected_revision_by_key.items()
                )
            ],
            set_keys=[
                store_messages.Set(
                    key,
                    base64.b64encode(content).decode(),
                    transaction.lease_id
                    if key in transaction.leased_keys
                    else store.NO_LEASE,
                )
                for key, content in transaction.value_by_key.items()
            ],
            remove=list(transaction.removed_keys),
        )
        response = await self._write(
            'POST',
            '/kv-txn',
            msgspec.json.encode(body),
        )
        if response.status == http.HTTPStatus.PRECONDITION_FAILED:
            raise store.RevisionConflict(
                ', '.join(transaction.expected_revision_by_key)
            )
        if response.status == http.HTTPStatus.NOT_FOUND:
            raise store.LeaseEnded(str(transaction.lease_id))
        return ids.Revision(_decode(response, store_messages.Written).revision)

    async def grant_lease(self, term_s: float) -> store.LeaseId:
        """Create a lease."""
        body = msgspec.json.encode({'ttl_ms': int(term_s * MS_PER_S)})
        response = await self._write('POST', '/kv-lease', body)
        return _decode(response, store_messages.Granted).lease

    async def renew_lease(
        self, lease_id: store.LeaseId, timeout_s: float
    ) -> None:
        """Renew a lease or raise LeaseEnded."""
        response = await self._write(
            'POST',
            f'/kv-keep/{lease_id}',
            timeout_s=timeout_s,
        )
        if response.status == http.HTTPStatus.NOT_FOUND:
            raise store.LeaseEnded(str(lease_id))
        if response.status != OK:
            raise errors.UnknownOutcome(
                f'lease renewal: status {response.status}'
            )

    async def end_lease(self, lease_id: store.LeaseId) -> None:
        """End a lease and remove its keys."""
        await self._write('DELETE', f'/kv-lease-end/{lease_id}')

    async def _read_page(self, after_key: str) -> store_messages.Page:
        query = {'prefix': ''}
        if after_key:
            query['after'] = after_key
        return _decode(
            await self._read('/kv-range', query), store_messages.Page
        )

    async def _read(
        self,
        path: str,
        query: dict[str, str],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> calls.CallResponse:
        """Make a call without side effects: any failure is Unavailable."""
        _count_call(path)
        target = f'{path}?{urlencode(query)}'
        try:
            response = await calls.call(
                self._address,
                calls.Call(method='GET', target=target),
                timeout_s,
            )
        except errors.BackendError as error:
            raise errors.Unavailable(f'{path}: {error}') from error
        _check_executed(path, response)
        return response

    async def _write(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> calls.CallResponse:
        _count_call(path)
        try:
            response = await calls.call(
                self._address,
                calls.Call(method=method, target=path, body=body),
                timeout_s,
            )
        except errors.NotStarted as error:
            raise errors.Unavailable(f'{path}: {error}') from error
        except errors.Interrupted as error:
            raise errors.UnknownOutcome(f'{path}: {error}') from error
        _check_executed(path, response)
        return response


def _count_call(path: str) -> None:
    kind = path.split('/')[1].removeprefix('kv-')
    store_metrics.STORE_CALLS.labels(kind).inc()


def _check_executed(path: str, response: calls.CallResponse) -> None:
    if response.status in NOT_EXECUTED_STATUSES:
        raise errors.Unavailable(f'{path}: status {response.status}')


def _decode(response: calls.CallResponse, expected: type[Body]) -> Body:
    if response.status != OK:
        raise errors.Unavailable(
            f'status {response.status}: {response.body[:MAX_SHOWN_BYTES]!r}',
        )
    try:
        return msgspec.json.decode(response.body, type=expected)
    except msgspec.MsgspecError as error:
        raise errors.Unavailable(f'unreadable answer: {error}') from error


def _convert_item(entry: store_messages.Item) -> store.Item:
    return store.Item(
        key=entry.key,
        value=None if entry.tombstone else _decode_value(entry),
        revision=ids.Revision(entry.revision),
    )


def _decode_value(entry: store_messages.Item) -> bytes:
    try:
        return base64.b64decode(entry.value or '', validate=True)
    except ValueError as error:
        logs.event('value_unreadable', key=entry.key, error=error)
        return b''
