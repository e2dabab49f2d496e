"""Define proposed and accepted changes of the configuration."""

import enum

import msgspec

from oatcrank import ids
from oatcrank.configuration import profile as profiles


class ChangeKind(enum.Enum):
    """Define what a change does to its profile."""

    create = 'create'
    change = 'change'
    retire = 'retire'


class Proposal(msgspec.Struct, frozen=True, kw_only=True):
    """Propose a change; based_on is the last revision the operator read."""

    change_id: ids.ChangeId
    who: str
    kind: ChangeKind
    profile: ids.ProfileName
    after: profiles.Profile | None = None
    based_on: ids.Revision = ids.Revision(0)


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Record an accepted change; when is UTC text for display only."""

    number: int
    change_id: ids.ChangeId
    who: str
    when: str
    kind: ChangeKind
    profile: ids.ProfileName
    before: profiles.Profile | None
    after: profiles.Profile | None
    based_on: ids.Revision

    def matches(self, proposal: Proposal) -> bool:
        """Return whether this change is the result of a proposal."""
        return proposal == Proposal(
            change_id=self.change_id,
            who=proposal.who,
            kind=self.kind,
            profile=self.profile,
            after=self.after,
            based_on=self.based_on,
        )
