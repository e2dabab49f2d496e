"""Hold what one entry instance knows of one backend server."""

from oatcrank import clock
from oatcrank.membership import instance_list

FIRST_BACKOFF_S = 0.25
LONGEST_BACKOFF_S = 4.0
DEFAULT_SLOTS = 16
REPORT_LASTS_S = 1.0


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
        self._reported_at = ticker.now()
        self._in_flight_at_report = 0
        self._failures = 0
        self._on_trial = False
        self._retry_at = ticker.now()

    @property
    def usable(self) -> bool:
        """Tell whether new work may be sent: not leaving, not backing off.

        A server that took nothing at the last attempt is tried by one request.
        """
        if self.listed.state is instance_list.State.leaving:
            return False
        if self._on_trial and self.in_flight:
            return False
        return self._clock.now() >= self._retry_at

    @property
    def load(self) -> float:
        """Return the expected requests per slot, own ones counted at once.

        Only answers carry reports, so an old report of a full server would
        keep away the very requests that could bring a newer one.
        """
        others = max(0, self._reported - self._in_flight_at_report)
        age_s = self._clock.now() - self._reported_at
        left = max(0, 1 - age_s / REPORT_LASTS_S)
        return (self.in_flight + others * left) / self.slots

    def take_report(self, running: int, queued: int, slots: int) -> None:
        """Take the load that an answer carried."""
        self._reported = running + queued
        self._reported_at = self._clock.now()
        self._in_flight_at_report = self.in_flight
        self.slots = max(1, slots)

    def succeeded(self) -> None:
        """Forget earlier failures."""
        self._failures = 0
        self._on_trial = False

    def failed(self, *, took_nothing: bool = False) -> None:
        """Send nothing for a time that doubles with each failure in a row.

        Requests that fail together count once.
        """
        self._on_trial = self._on_trial or took_nothing
        self._reported = 0
        self._in_flight_at_report = self.in_flight
        if self._clock.now() < self._retry_at:
            return
        pause = min(
            FIRST_BACKOFF_S * (1 << min(self._failures, 8)),
            LONGEST_BACKOFF_S,
        )
        self._failures += 1
        self._retry_at = self._clock.now() + pause
