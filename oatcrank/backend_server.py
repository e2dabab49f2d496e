"""Hold what one entry instance knows of one backend server."""

from oatcrank import clock, instance_list

FIRST_BACKOFF_S = 0.25
LONGEST_BACKOFF_S = 4.0
DEFAULT_SLOTS = 16


class BackendServer:
    """Count own requests and remember reported load and failures."""

    def __init__(
        self,
        listed: instance_list.Instance,
        ticker: clock.Clock,
    ) -> None:
        """Start without load and in good health."""
        self.listed = listed
        self.in_flight = 0
        self.suspects = 0
        self.boot_id = ''
        self.slots = DEFAULT_SLOTS
        self._clock = ticker
        self._reported = 0
        self._in_flight_at_report = 0
        self._failures = 0
        self._retry_at = ticker.now()

    @property
    def usable(self) -> bool:
        """Tell whether new work may be sent: not leaving, not backing off."""
        if self.listed.state is instance_list.State.leaving:
            return False
        return self._clock.now() >= self._retry_at

    @property
    def load(self) -> float:
        """Return the expected requests per slot, own ones counted at once."""
        since_report = self.in_flight - self._in_flight_at_report
        expected = max(self._reported + since_report, self.in_flight)
        return expected / self.slots

    def take_report(self, running: int, queued: int, slots: int) -> None:
        """Take the load that an answer carried."""
        self._reported = running + queued
        self._in_flight_at_report = self.in_flight
        self.slots = max(1, slots)

    def succeeded(self) -> None:
        """Forget earlier failures."""
        self._failures = 0

    def failed(self) -> None:
        """Send nothing for a time that doubles with each failure in a row."""
        pause = min(
            FIRST_BACKOFF_S * (1 << min(self._failures, 8)),
            LONGEST_BACKOFF_S,
        )
        self._failures += 1
        self._retry_at = self._clock.now() + pause
        self._reported = 0
        self._in_flight_at_report = self.in_flight
