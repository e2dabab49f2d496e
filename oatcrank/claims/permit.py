"""Say whether a request may be sent to a backend server."""

import abc


class Permit(abc.ABC):
    """Be asked directly before the first byte of each attempt is sent."""

    @abc.abstractmethod
    def take(self) -> bool:
        """Return whether the attempt may be sent now."""

    @abc.abstractmethod
    def give_back(self) -> None:
        """Note that the last attempt surely did not run."""


class FreePermit(Permit):
    """Allow every attempt of a repeatable request."""

    def take(self) -> bool:
        """Return whether the attempt may be sent now."""
        return True

    def give_back(self) -> None:
        """Note that the last attempt surely did not run."""
