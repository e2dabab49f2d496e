"""Permission to send an attempt to a backend server."""

import abc


class Permit(abc.ABC):
    """Base class for permits, acquired right before an attempt is sent."""

    @abc.abstractmethod
    def acquire(self) -> bool:
        """Return whether the attempt may be sent now."""

    @abc.abstractmethod
    def release(self) -> None:
        """Release the permit after an attempt that certainly did not run."""


class UnrestrictedPermit(Permit):
    """Allow every attempt, for requests that may run more than once."""

    def acquire(self) -> bool:
        """Return whether the attempt may be sent now."""
        return True

    def release(self) -> None:
        """Release the permit after an attempt that certainly did not run."""
