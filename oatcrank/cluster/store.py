"""Define the interface of the key-value store, which outlasts all instances."""

import abc

import msgspec

from oatcrank import errors, ids

NO_LEASE = ids.LeaseId(0)
ABSENT = ids.Revision(0)


class HistoryLost(errors.PlatformError):
    """Raised when the changes since a revision are no longer available.

    Those since a revision of an earlier era never are.
    """


class LeaseEnded(errors.PlatformError):
    """Raised when a lease has ended."""


class RevisionConflict(errors.PlatformError):
    """Raised when a key was not at the revision that a write expected."""


class Item(msgspec.Struct, frozen=True, kw_only=True):
    """A key with its value and revision; value is None for a removed key."""

    key: str
    value: bytes | None
    revision: ids.Revision


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All items, and the revision from which to watch for changes."""

    items: tuple[Item, ...]
    revision: ids.Revision


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """Changed items, and the revision from which to continue watching."""

    items: tuple[Item, ...]
    revision: ids.Revision


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Transaction that sets or removes keys at their expected revisions."""

    expected_revision_by_key: dict[str, ids.Revision] = msgspec.field(
        default_factory=dict
    )
    value_by_key: dict[str, bytes] = msgspec.field(default_factory=dict)
    lease_id: ids.LeaseId = NO_LEASE
    leased_keys: frozenset[str] = frozenset()
    removed_keys: tuple[str, ...] = ()


class Store(abc.ABC):
    """Interface of a key-value store for small values with leases.

    Revisions grow over all eras of the store, and leases of an earlier era have
    ended: see store_eras.

    Every method raises errors.Unavailable if it had no effect, and
    errors.UnknownOutcome if a write may take effect now or later.
    """

    @abc.abstractmethod
    async def read(self, key: str) -> Item | None:
        """Return a key's newest item, or None if there is none."""

    @abc.abstractmethod
    async def read_revision(self) -> ids.Revision:
        """Return the revision of the store."""

    @abc.abstractmethod
    async def read_all(self) -> Snapshot:
        """Return all items."""

    @abc.abstractmethod
    async def watch(self, after: ids.Revision, wait_s: float) -> Changes:
        """Wait up to wait_s for changes after a revision.

        Raises HistoryLost if they are no longer available.
        """

    @abc.abstractmethod
    async def write(self, transaction: Transaction) -> ids.Revision:
        """Apply a transaction, or raise RevisionConflict or LeaseEnded."""

    @abc.abstractmethod
    async def grant_lease(self, term_s: float) -> ids.LeaseId:
        """Grant a lease that ends after term_s without a renewal."""

    @abc.abstractmethod
    async def renew_lease(
        self, lease_id: ids.LeaseId, timeout_s: float
    ) -> None:
        """Renew a lease or raise LeaseEnded."""

    @abc.abstractmethod
    async def end_lease(self, lease_id: ids.LeaseId) -> None:
        """End a lease and remove its keys."""
