"""Membership view that tests set."""

from oatcrank.membership import member, members


class SettableMembers(members.Members):
    """Members whose alive instances are set from outside."""

    def __init__(self, own: member.Member) -> None:
        """Start with only this instance alive."""
        self.alive_members: tuple[member.Member, ...] = (own,)
        self._own = own

    @property
    def own(self) -> member.Member:
        """Return this instance."""
        return self._own

    def alive(self) -> tuple[member.Member, ...]:
        """Return the members that were last set."""
        return self.alive_members
