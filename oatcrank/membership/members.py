"""Tell which entry instances are alive."""

import abc

from oatcrank.membership import member


class Members(abc.ABC):
    """Know the entry instances, this one included."""

    @property
    @abc.abstractmethod
    def this(self) -> member.Member:
        """Return this instance."""

    @abc.abstractmethod
    def alive(self) -> tuple[member.Member, ...]:
        """Return the members believed alive, ordered by instance id."""
