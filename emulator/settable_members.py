"""Let tests say which instances one of them believes alive."""

from oatcrank.membership import member, members


class SettableMembers(members.Members):
    """Believe what was set last."""

    def __init__(self, this: member.Member) -> None:
        """Know only this instance."""
        self.believed: tuple[member.Member, ...] = (this,)
        self._this = this

    @property
    def this(self) -> member.Member:
        """Return this instance."""
        return self._this

    def alive(self) -> tuple[member.Member, ...]:
        """Return the members believed alive."""
        return self.believed
