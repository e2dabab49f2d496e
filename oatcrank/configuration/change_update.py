"""Define the messages that transfer changes between instances."""

import msgspec

from oatcrank.configuration import change, snapshot


class ChangesRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request the changes after a number."""

    after: int


class ChangeUpdate(msgspec.Struct, frozen=True, kw_only=True):
    """Hold consecutive changes, after a snapshot if one is included."""

    newest: int
    changes: tuple[change.Change, ...] = ()
    base: snapshot.Snapshot | None = None
