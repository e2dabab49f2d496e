"""Define the interface for the entry instances that are alive."""

import abc

from oatcrank.membership import member


class Members(abc.ABC):
    """Interface for listing the entry instances, including this one."""

    @property
    @abc.abstractmethod
    def own(self) -> member.Member:
        """Return this instance."""

    @abc.abstractmethod
    def alive(self) -> tuple[member.Member, ...]:
        """Return the members considered alive, ordered by instance id."""
