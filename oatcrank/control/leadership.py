"""Tell whether this process may control, and under which fence."""

import abc

from oatcrank import ids


class Leadership(abc.ABC):
    """Know whether this process holds the lease of control."""

    @abc.abstractmethod
    def held(self) -> ids.Fence | None:
        """Return the fence while the lease is believed held, else None."""
