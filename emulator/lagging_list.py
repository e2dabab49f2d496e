"""State of the instance-list stand-in."""

import time

from emulator import (
    active_faults,
    instance_list_config,
    listing,
    platform_faults,
)


class LaggingList:
    """Instance list that shows changes after a lag."""

    def __init__(self, config: instance_list_config.InstanceListConfig) -> None:
        """Create a list with the configured instances and no faults."""
        self.faults = active_faults.ActiveFaults(
            platform_faults.PlatformFaults()
        )
        self._lag_s = config.lag_s
        self._visible = listing.Listing(config.instances)
        self._pending: list[tuple[float, listing.Listing]] = []

    def replace(self, new_list: listing.Listing) -> None:
        """Replace the list; the change shows after the lag."""
        self._pending.append((time.monotonic() + self._lag_s, new_list))

    def visible(self) -> listing.Listing:
        """Return the list that shows now."""
        now = time.monotonic()
        while self._pending and self._pending[0][0] <= now:
            self._visible = self._pending.pop(0)[1]
        return self._visible
