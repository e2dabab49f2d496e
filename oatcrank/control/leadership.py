"""Define the interface to the control lease."""

import abc

from oatcrank import ids


class Leadership(abc.ABC):
    """Check whether this process holds the control lease."""

    @abc.abstractmethod
    def held_fence(self) -> ids.Fence | None:
        """Return the fence while the lease is held, else None.

        A fence is a fencing token: it grows with every takeover, so that
        orders of an earlier holder can be rejected.
        """
