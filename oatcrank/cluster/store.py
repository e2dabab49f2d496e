"""Describe what is assumed of the store that outlasts all instances."""

import abc

import msgspec

from oatcrank import errors, ids

LeaseId = int
NO_LEASE = 0
ABSENT = ids.Revision(0)


class HistoryLost(errors.PlatformError):
    """Report that changes since a revision are no longer known."""


class LeaseEnded(errors.PlatformError):
    """Report that a lease has ended."""


class Moved(errors.PlatformError):
    """Report that a key was not at the revision that a write expected."""


class Item(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a key as it was written; None is the value of a removed key."""

    key: str
    value: bytes | None
    revision: ids.Revision


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Hold all items of a prefix, and a revision to watch on from."""

    items: tuple[Item, ...]
    revision: ids.Revision


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what has changed, and the revision to watch on from."""

    items: tuple[Item, ...]
    revision: ids.Revision


class Write(msgspec.Struct, frozen=True, kw_only=True):
    """Set or remove keys together, if each is at its expected revision."""

    expected: dict[str, ids.Revision] = msgspec.field(default_factory=dict)
    value_by_key: dict[str, bytes] = msgspec.field(default_factory=dict)
    leased: LeaseId = NO_LEASE
    leased_keys: frozenset[str] = frozenset()
    removed: tuple[str, ...] = ()


class Store(abc.ABC):
    """Keep small values under keys.

    Every method raises errors.Unavailable where nothing was done and
    errors.UnknownOutcome where a write may be done, now or later.
    """

    @abc.abstractmethod
    async def read(self, key: str) -> Item | None:
        """Return a key's newest value."""

    @abc.abstractmethod
    async def read_all(self) -> Snapshot:
        """Return all items."""

    @abc.abstractmethod
    async def watch(self, after: ids.Revision, wait_s: float) -> Changes:
        """Return changes after a revision, or raise HistoryLost."""

    @abc.abstractmethod
    async def write(self, one: Write) -> ids.Revision:
        """Write, or raise Moved or LeaseEnded."""

    @abc.abstractmethod
    async def grant(self, term_s: float) -> LeaseId:
        """Begin a lease."""

    @abc.abstractmethod
    async def keep(self, lease: LeaseId, within_s: float) -> None:
        """Renew a lease or raise LeaseEnded."""

    @abc.abstractmethod
    async def end(self, lease: LeaseId) -> None:
        """End a lease and remove its keys."""
