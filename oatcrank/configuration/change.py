"""Describe one accepted change of the configuration."""

import enum

import msgspec

from oatcrank import ids
from oatcrank.configuration import profile as profiles


class ChangeKind(enum.Enum):
    """Say what a change does to its profile."""

    create = 'create'
    change = 'change'
    retire = 'retire'


class Proposal(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for a change; based_on is the last revision the operator saw."""

    change_id: ids.ChangeId
    who: str
    kind: ChangeKind
    profile: ids.ProfileName
    after: profiles.Profile | None = None
    based_on: ids.Revision = ids.Revision(0)


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Record a change; when is UTC text that only informs readers."""

    number: int
    change_id: ids.ChangeId
    who: str
    when: str
    kind: ChangeKind
    profile: ids.ProfileName
    before: profiles.Profile | None
    after: profiles.Profile | None
    based_on: ids.Revision

    def answers(self, proposal: Proposal) -> bool:
        """Say whether this change is the one proposed."""
        return proposal == Proposal(
            change_id=self.change_id,
            who=proposal.who,
            kind=self.kind,
            profile=self.profile,
            after=self.after,
            based_on=self.based_on,
        )
