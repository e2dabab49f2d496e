"""Carry changes from an instance that has them to one that lacks them."""

import msgspec

from oatcrank.configuration import change, snapshot


class ChangesWanted(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for the changes after a number."""

    after: int


class ChangeNews(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a run of changes, on top of a snapshot if that was needed."""

    newest: int
    changes: tuple[change.Change, ...] = ()
    base: snapshot.Snapshot | None = None
