"""In-process store of values, leases and history, with faults."""

import asyncio
import copy
import enum
import itertools

import msgspec

from oatcrank import errors, ids
from oatcrank.cluster import store, store_eras

POLL_INTERVAL_S = 0.01


class StoreFault(enum.Enum):
    """Fault of the store that a client sees."""

    none = 'none'
    down = 'refuses every call'
    answer_lost = 'writes, and its answer is lost'


class Lease(msgspec.Struct):
    """Time at which a lease ends, and its term, in seconds."""

    ends_s: float
    term_s: float


class Copy(msgspec.Struct, frozen=True, kw_only=True):
    """What a copy of the store holds."""

    revision: int
    item_by_key: dict[str, store.Item]
    lease_by_key: dict[str, ids.LeaseId]
    lease_by_id: dict[ids.LeaseId, Lease]


class MemoryStore:
    """Contents of the store, shared by all clients.

    Watches can start at `discarded_revision` or later.
    """

    def __init__(self) -> None:
        """Start empty, at revision one."""
        self.era = store_eras.UNNAMED_ERA
        self.revision = 1
        self.item_by_key: dict[str, store.Item] = {}
        self.lease_by_key: dict[str, ids.LeaseId] = {}
        self.lease_by_id: dict[ids.LeaseId, Lease] = {}
        self.history: list[store.Item] = []
        self.discarded_revision = 0
        self._lease_ids = itertools.count(1)

    def discard_history(self) -> None:
        """Discard the changes that watches of older revisions would need."""
        self.history.clear()
        self.discarded_revision = self.revision

    def take_copy(self) -> Copy:
        """Return a copy of the store as it is now."""
        return Copy(
            revision=self.revision,
            item_by_key=copy.copy(self.item_by_key),
            lease_by_key=copy.copy(self.lease_by_key),
            lease_by_id=copy.copy(self.lease_by_id),
        )

    def return_from(self, older: Copy) -> None:
        """Return from an older copy in a new era; leases run anew."""
        self.era = ids.StoreEra(self.era + 1)
        self.revision = self._renumbered(older.revision)
        self.item_by_key = {
            key: msgspec.structs.replace(
                item, revision=self._renumbered(item.revision)
            )
            for key, item in older.item_by_key.items()
        }
        now_s = asyncio.get_running_loop().time()
        self.lease_by_id = {
            self._renewed_lease(lease_id): Lease(
                now_s + lease.term_s, lease.term_s
            )
            for lease_id, lease in older.lease_by_id.items()
        }
        self.lease_by_key = {
            key: self._renewed_lease(lease_id)
            for key, lease_id in older.lease_by_key.items()
        }
        self.discard_history()

    def _renumbered(self, revision: int) -> ids.Revision:
        number = store_eras.revision_number(revision)
        return store_eras.revision(self.era, number)

    def _renewed_lease(self, lease_id: ids.LeaseId) -> ids.LeaseId:
        return store_eras.lease(self.era, store_eras.lease_number(lease_id))

    def remove(self, key: str) -> None:
        """Remove a key, as if its lease had ended."""
        self._remove(key)

    def expire(self) -> None:
        """End the leases that were not renewed in time."""
        now_s = asyncio.get_running_loop().time()
        for lease_id, lease in tuple(self.lease_by_id.items()):
            if lease.ends_s <= now_s:
                self.end_lease(lease_id)

    def grant_lease(self, term_s: float) -> ids.LeaseId:
        """Grant a lease."""
        lease_id = store_eras.lease(self.era, next(self._lease_ids))
        now_s = asyncio.get_running_loop().time()
        self.lease_by_id[lease_id] = Lease(now_s + term_s, term_s)
        return lease_id

    def renew_lease(self, lease_id: ids.LeaseId) -> bool:
        """Renew a lease; return whether it had not ended."""
        self.expire()
        lease = self.lease_by_id.get(lease_id)
        if lease is None:
            return False
        lease.ends_s = asyncio.get_running_loop().time() + lease.term_s
        return True

    def end_lease(self, lease_id: ids.LeaseId) -> None:
        """End a lease and remove its keys."""
        self.lease_by_id.pop(lease_id, None)
        for key, owner in tuple(self.lease_by_key.items()):
            if owner == lease_id:
                self._remove(key)

    def write(self, transaction: store.Transaction) -> ids.Revision:
        """Apply a transaction, or raise RevisionConflict or LeaseEnded."""
        self.expire()
        for key, revision in transaction.expected_revision_by_key.items():
            if self._revision(key) != revision:
                raise store.RevisionConflict(key)
        lease_id = transaction.lease_id
        if lease_id and lease_id not in self.lease_by_id:
            raise store.LeaseEnded(str(lease_id))
        self.revision += 1
        for key, value in transaction.value_by_key.items():
            self._put(key, value)
            if key in transaction.leased_keys:
                self.lease_by_key[key] = lease_id
            else:
                self.lease_by_key.pop(key, None)
        for removed in transaction.removed_keys:
            self._remove(removed)
        return ids.Revision(self.revision)

    def put(self, key: str, value: bytes) -> ids.Revision:
        """Write a key without conditions, as an operator does."""
        return self.write(store.Transaction(value_by_key={key: value}))

    def items(self) -> tuple[store.Item, ...]:
        """Return all items, sorted by key."""
        self.expire()
        return tuple(item for _, item in sorted(self.item_by_key.items()))

    def changes_after(self, revision: int) -> tuple[store.Item, ...]:
        """Return the changes since a revision, or raise HistoryLost."""
        self.expire()
        if revision < self.discarded_revision:
            raise store.HistoryLost(str(revision))
        return tuple(item for item in self.history if item.revision > revision)

    def _revision(self, key: str) -> ids.Revision:
        item = self.item_by_key.get(key)
        return store.ABSENT if item is None else item.revision

    def _put(self, key: str, value: bytes) -> None:
        item = store.Item(
            key=key,
            value=value,
            revision=ids.Revision(self.revision),
        )
        self.item_by_key[key] = item
        self.history.append(item)

    def _remove(self, key: str) -> None:
        if self.item_by_key.pop(key, None) is None:
            return
        self.lease_by_key.pop(key, None)
        self.revision += 1
        self.history.append(
            store.Item(
                key=key,
                value=None,
                revision=ids.Revision(self.revision),
            ),
        )


class MemoryClient(store.Store):
    """Client of the shared store for one instance, with its own fault."""

    def __init__(self, shared: MemoryStore) -> None:
        """Start without a fault."""
        self.shared = shared
        self.fault = StoreFault.none
        self.calls = 0

    async def read(self, key: str) -> store.Item | None:
        """Return a key's newest item, or None if there is none."""
        self._begin_call()
        self.shared.expire()
        return self.shared.item_by_key.get(key)

    async def read_revision(self) -> ids.Revision:
        """Return the revision of the store."""
        self._begin_call()
        return ids.Revision(self.shared.revision)

    async def read_all(self) -> store.Snapshot:
        """Return all items."""
        self._begin_call()
        return store.Snapshot(
            items=self.shared.items(),
            revision=ids.Revision(self.shared.revision),
        )

    async def watch(self, after: ids.Revision, wait_s: float) -> store.Changes:
        """Return changes after a revision, or raise HistoryLost."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + wait_s
        while True:
            self._begin_call()
            items = self.shared.changes_after(after)
            if items or loop.time() >= ends_s:
                return store.Changes(
                    items=items,
                    revision=ids.Revision(self.shared.revision),
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def write(self, transaction: store.Transaction) -> ids.Revision:
        """Apply a transaction, or raise RevisionConflict or LeaseEnded."""
        self._begin_call()
        revision = self.shared.write(transaction)
        if self.fault is StoreFault.answer_lost:
            raise errors.UnknownOutcome('the answer is lost')
        return revision

    async def grant_lease(self, term_s: float) -> ids.LeaseId:
        """Grant a lease."""
        self._begin_call()
        return self.shared.grant_lease(term_s)

    async def renew_lease(
        self, lease_id: ids.LeaseId, timeout_s: float
    ) -> None:
        """Renew a lease or raise LeaseEnded."""
        self._begin_call()
        if not self.shared.renew_lease(lease_id):
            raise store.LeaseEnded(str(lease_id))

    async def end_lease(self, lease_id: ids.LeaseId) -> None:
        """End a lease and remove its keys."""
        self._begin_call()
        self.shared.end_lease(lease_id)

    def _begin_call(self) -> None:
        self.calls += 1
        if self.fault is StoreFault.down:
            raise errors.Unavailable('the store is down')
