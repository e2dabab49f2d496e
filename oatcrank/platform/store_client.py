"""Client of the platform's store."""

import base64
import http
from collections.abc import Iterator
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from oatcrank import decoding, errors, ids, logs
from oatcrank.cluster import store, store_eras, store_metrics
from oatcrank.platform import header_numbers, store_messages
from oatcrank.transport import calls, message

CALL_TIMEOUT_S = 1.5
# A watch fails if its answer is later than its wait by more than this.
WATCH_SLACK_S = 1.5
MS_PER_S = 1000
MAX_SHOWN_BYTES = 200
OK = http.HTTPStatus.OK
ERA = b'store-era'
# No key begins with it.
NO_KEYS = 'no-keys/'
NOT_EXECUTED_STATUSES = frozenset(
    (
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        http.HTTPStatus.TOO_MANY_REQUESTS,
    )
)


Body = TypeVar('Body', bound=msgspec.Struct)


class _Answer(msgspec.Struct, frozen=True, kw_only=True):
    era: ids.StoreEra
    status: int
    body: bytes


class PlatformStore(store.Store):
    """Platform's store; opens a connection for each call."""

    def __init__(self, address: str) -> None:
        """Create a client for the store at `ip:port`."""
        self._address = address
        self._era: ids.StoreEra | None = None

    async def read(self, key: str) -> store.Item | None:
        """Return the newest value of a key."""
        answer = await self._read('/kv-key', {'key': key})
        if answer.status == http.HTTPStatus.NOT_FOUND:
            return None
        return _convert_item(_decode(answer, store_messages.Item), answer.era)

    async def read_revision(self) -> ids.Revision:
        """Return the revision of the store, read with a page of no items."""
        page, era = await self._read_page(prefix=NO_KEYS)
        return store_eras.revision(era, page.store_revision)

    async def read_all(self) -> store.Snapshot:
        """Return all items; pages are read at different revisions.

        The returned revision is that of the first page, so that a watch from
        there repeats the changes made while the pages were read.
        """
        items: list[store.Item] = []
        page, era = await self._read_page()
        revision = store_eras.revision(era, page.store_revision)
        items.extend(_convert_items(page.items, era))
        while page.has_more and page.items:
            page, _ = await self._read_page(
                after_key=page.items[-1].key, expected_era=era
            )
            items.extend(_convert_items(page.items, era))
        return store.Snapshot(items=tuple(items), revision=revision)

    async def watch(self, after: ids.Revision, wait_s: float) -> store.Changes:
        """Return changes after a revision, or raise HistoryLost."""
        self._check_history(after, self._era)
        answer = await self._read(
            '/kv-watch',
            {
                'prefix': '',
                'after': str(store_eras.revision_number(after)),
                'wait_ms': str(int(wait_s * MS_PER_S)),
            },
            timeout_s=wait_s + WATCH_SLACK_S,
        )
        if answer.status == http.HTTPStatus.GONE:
            raise store.HistoryLost(f'after {after}')
        self._check_history(after, answer.era)
        events = _decode(answer, store_messages.Events)
        return store.Changes(
            items=tuple(_convert_items(events.events, answer.era)),
            revision=store_eras.revision(answer.era, events.store_revision),
        )

    async def write(self, transaction: store.Transaction) -> ids.Revision:
        """Write, or raise RevisionConflict or LeaseEnded."""
        lease_id = transaction.lease_id
        self._check_expected(transaction)
        self._check_lease(lease_id, self._era)
        answer = await self._write(
            'POST', '/kv-txn', _encode_transaction(transaction)
        )
        if answer.status == http.HTTPStatus.PRECONDITION_FAILED:
            raise store.RevisionConflict(
                ', '.join(transaction.expected_revision_by_key)
            )
        if answer.status == http.HTTPStatus.NOT_FOUND:
            raise store.LeaseEnded(str(lease_id))
        # The lease that the keys were written under may be another one's.
        self._check_lease(lease_id, answer.era)
        written = _decode(answer, store_messages.Written)
        return store_eras.revision(answer.era, written.revision)

    async def grant_lease(self, term_s: float) -> ids.LeaseId:
        """Create a lease."""
        body = msgspec.json.encode({'ttl_ms': int(term_s * MS_PER_S)})
        answer = await self._write('POST', '/kv-lease', body)
        granted = _decode(answer, store_messages.Granted)
        return store_eras.lease(answer.era, granted.lease)

    async def renew_lease(
        self, lease_id: ids.LeaseId, timeout_s: float
    ) -> None:
        """Renew a lease or raise LeaseEnded."""
        self._check_lease(lease_id, self._era)
        answer = await self._write(
            'POST',
            f'/kv-keep/{store_eras.lease_number(lease_id)}',
            timeout_s=timeout_s,
        )
        if answer.status == http.HTTPStatus.NOT_FOUND:
            raise store.LeaseEnded(str(lease_id))
        self._check_lease(lease_id, answer.era)
        if answer.status != OK:
            raise errors.UnknownOutcome(
                f'lease renewal: status {answer.status}'
            )

    async def end_lease(self, lease_id: ids.LeaseId) -> None:
        """End a lease and remove its keys."""
        self._check_lease(lease_id, self._era)
        number = store_eras.lease_number(lease_id)
        await self._write('DELETE', f'/kv-lease-end/{number}')

    def _check_history(
        self, after: ids.Revision, era: ids.StoreEra | None
    ) -> None:
        """Raise HistoryLost if a revision is of an earlier era."""
        if era is not None and store_eras.revision_era(after) != era:
            raise store.HistoryLost(f'after {after}: the store is in era {era}')

    def _check_lease(
        self, lease_id: ids.LeaseId, era: ids.StoreEra | None
    ) -> None:
        """Raise LeaseEnded if a lease is of an earlier era."""
        if era is None or lease_id == store.NO_LEASE:
            return
        if store_eras.lease_era(lease_id) != era:
            raise store.LeaseEnded(f'{lease_id}: the store is in era {era}')

    def _check_expected(self, transaction: store.Transaction) -> None:
        """Raise RevisionConflict if a condition is of an earlier era.

        The store may have given out its revision again.
        """
        for key, revision in transaction.expected_revision_by_key.items():
            if revision == store.ABSENT or self._era is None:
                continue
            if store_eras.revision_era(revision) != self._era:
                raise store.RevisionConflict(key)

    async def _read_page(
        self,
        *,
        prefix: str = '',
        after_key: str = '',
        expected_era: ids.StoreEra | None = None,
    ) -> tuple[store_messages.Page, ids.StoreEra]:
        query = {'prefix': prefix}
        if after_key:
            query['after'] = after_key
        answer = await self._read('/kv-range', query)
        if expected_era not in {None, answer.era}:
            raise errors.Unavailable('the pages are of two eras')
        return _decode(answer, store_messages.Page), answer.era

    async def _read(
        self,
        path: str,
        query: dict[str, str],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Answer:
        """Make a call without side effects: any failure is Unavailable."""
        _count_call(path)
        target = f'{path}?{urlencode(query)}'
        try:
            response = await calls.call(
                self._address,
                calls.Call(
                    method='GET',
                    target=target,
                    max_response_bytes=calls.MAX_BODY_BYTES,
                ),
                timeout_s,
            )
        except errors.BackendError as error:
            raise errors.Unavailable(f'{path}: {error}') from error
        _check_executed(path, response)
        return self._answer(path, response, errors.Unavailable)

    async def _write(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Answer:
        _count_call(path)
        try:
            response = await calls.call(
                self._address,
                calls.Call(
                    method=method,
                    target=path,
                    body=body,
                    max_response_bytes=calls.MAX_BODY_BYTES,
                ),
                timeout_s,
            )
        except errors.NotStarted as error:
            raise errors.Unavailable(f'{path}: {error}') from error
        except errors.Interrupted as error:
            raise errors.UnknownOutcome(f'{path}: {error}') from error
        _check_executed(path, response)
        return self._answer(path, response, errors.UnknownOutcome)

    def _answer(
        self,
        path: str,
        response: calls.CallResponse,
        late_error: type[errors.PlatformError],
    ) -> _Answer:
        """Return an answer with its era, or raise if a later one is known."""
        known = store_eras.UNNAMED_ERA if self._era is None else self._era
        era = _decode_era(response.headers, known)
        if era < known:
            raise late_error(f'{path}: a late answer of era {era}')
        if self._era is not None and era > known:
            logs.event('store_era_began', era=era, former=known)
        self._era = era
        return _Answer(era=era, status=response.status, body=response.body)


def _count_call(path: str) -> None:
    kind = path.split('/')[1].removeprefix('kv-')
    store_metrics.STORE_CALLS.labels(kind).inc()


def _check_executed(path: str, response: calls.CallResponse) -> None:
    if response.status in NOT_EXECUTED_STATUSES:
        raise errors.Unavailable(f'{path}: status {response.status}')


def _decode_era(
    headers: message.Headers, default: ids.StoreEra
) -> ids.StoreEra:
    """Return the era that an answer names, or a default."""
    text = message.find_header(headers, ERA)
    if text is None:
        return default
    era = header_numbers.decode(text.decode('latin-1'), store_eras.MAX_ERA + 1)
    if era is None or era > store_eras.MAX_ERA:
        logs.event('store_era_unreadable', era=text[:MAX_SHOWN_BYTES])
        return default
    return ids.StoreEra(era)


def _decode(answer: _Answer, expected: type[Body]) -> Body:
    if answer.status != OK:
        raise errors.Unavailable(
            f'status {answer.status}: {answer.body[:MAX_SHOWN_BYTES]!r}',
        )
    try:
        return decoding.from_json(answer.body, expected=expected)
    except msgspec.MsgspecError as error:
        raise errors.Unavailable(f'unreadable answer: {error}') from error


def _encode_transaction(transaction: store.Transaction) -> bytes:
    lease = store_eras.lease_number(transaction.lease_id)
    body = store_messages.Transaction(
        expected=[
            store_messages.Expected(key, store_eras.revision_number(revision))
            for key, revision in transaction.expected_revision_by_key.items()
        ],
        set_keys=[
            store_messages.Set(
                key,
                base64.b64encode(content).decode(),
                lease if key in transaction.leased_keys else store.NO_LEASE,
            )
            for key, content in transaction.value_by_key.items()
        ],
        remove=list(transaction.removed_keys),
    )
    return msgspec.json.encode(body)


def _convert_items(
    entries: list[store_messages.Item], era: ids.StoreEra
) -> Iterator[store.Item]:
    return (_convert_item(entry, era) for entry in entries)


def _convert_item(entry: store_messages.Item, era: ids.StoreEra) -> store.Item:
    return store.Item(
        key=entry.key,
        value=None if entry.tombstone else _decode_value(entry),
        revision=store_eras.revision(era, entry.revision),
    )


def _decode_value(entry: store_messages.Item) -> bytes:
    try:
        return base64.b64decode(entry.value or '', validate=True)
    except ValueError as error:
        logs.event('value_unreadable', key=entry.key, error=error)
        return b''
