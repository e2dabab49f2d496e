"""Membership view that tests set."""

from oatcrank.membership import member, members


class SettableMembers(members.Members):
    """Members whose alive instances are set from outside."""

    def __init__(self, this: member.Member) -> None:
        """Start with only this instance alive."""
        self.alive_members: tuple[member.Member, ...] = (this,)
        self._this = this

    @property
    def this(self) -> member.Member:
        """Return this instance."""
        return self._this

    def alive(self) -> tuple[member.Member, ...]:
        """Return the members that were last set."""
        return self.alive_members
