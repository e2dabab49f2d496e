"""Define the messages between operators and entry instances."""

from typing import Any

import msgspec

from oatcrank import ids
from oatcrank.configuration import change, profile_state
from oatcrank.configuration import profile as profiles
from oatcrank.membership import member


class ChangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request a change; a missing change_id is generated."""

    who: str
    based_on: ids.Revision = ids.Revision(0)
    change_id: ids.ChangeId = ids.ChangeId('')
    profile: profiles.Profile | None = None


class ProfileList(msgspec.Struct, frozen=True, kw_only=True):
    """List the profiles in force, ordered by name."""

    newest: int
    profiles: tuple[profile_state.ProfileState, ...]


class ChangeList(msgspec.Struct, frozen=True, kw_only=True):
    """List changes in order; newest is the last number applied here."""

    newest: int
    changes: tuple[change.Change, ...]


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one instance and its view of the others."""

    this: member.Member
    members: tuple[member.Member, ...]
    newest_change: int
    isolated: bool
    version_by_name: dict[str, int]
    sections: dict[str, Any] = {}
