"""Interface to learn of changes of the store without a call to it."""

import abc

import msgspec

from oatcrank import ids
from oatcrank.cluster import store


class RelayedChanges(msgspec.Struct, frozen=True, kw_only=True):
    """Changes that a relay has passed on, confirmed by the store age_s ago."""

    items: tuple[store.Item, ...]
    revision: ids.Revision
    age_s: float


class ChangeSource(abc.ABC):
    """Interface to learn of changes without a call to the store."""

    @abc.abstractmethod
    async def changes(self, after: ids.Revision) -> RelayedChanges | None:
        """Return the changes after a revision, or None to ask the store."""

    @abc.abstractmethod
    async def look(self, after: ids.Revision) -> RelayedChanges | None:
        """Return what another instance knows; None if none answers.

        Its revision may be an earlier one, if the other knows less.
        """

    @abc.abstractmethod
    def checks_store(self) -> bool:
        """Return whether this instance must not rely on what others know."""

    @abc.abstractmethod
    def bypass(self, *, bypassed: bool) -> None:
        """Set whether this instance needs each change without delay."""
