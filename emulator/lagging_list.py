"""Hold the state of the instance-list stand-in."""

import time

from emulator import fault_box, instance_list_config, listing, platform_faults


class LaggingList:
    """Show what was true some seconds ago."""

    def __init__(self, config: instance_list_config.InstanceListConfig) -> None:
        """Show the list of the configuration at once."""
        self.faults = fault_box.FaultBox(platform_faults.PlatformFaults())
        self._lag_s = config.lag_s
        self._shown = listing.Listing(config.instances)
        self._coming: list[tuple[float, listing.Listing]] = []

    def replace(self, truth: listing.Listing) -> None:
        """Set the truth, which shows after the lag."""
        self._coming.append((time.monotonic() + self._lag_s, truth))

    def shown(self) -> listing.Listing:
        """Return what shows now."""
        now = time.monotonic()
        while self._coming and self._coming[0][0] <= now:
            self._shown = self._coming.pop(0)[1]
        return self._shown
