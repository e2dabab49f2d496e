"""Track the load and failures of one backend server."""

from oatcrank import clock
from oatcrank.membership import instance_list

MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
DEFAULT_SLOTS = 16
REPORT_MAX_AGE_S = 1.0


class BackendServer:
    """State of a backend server as seen by one entry instance."""

    def __init__(
        self,
        listed: instance_list.Instance,
        clock: clock.Clock,
    ) -> None:
        """Create the state of a server without load or failures."""
        self.listed = listed
        self.in_flight = 0
        self.suspect_count = 0
        self.boot_id = ''
        self.slots = DEFAULT_SLOTS
        self._clock = clock
        self._reported = 0
        self._reported_at = clock.now()
        self._in_flight_at_report = 0
        self._failures = 0
        self._probing = False
        self._retry_at = clock.now()

    @property
    def usable(self) -> bool:
        """Return whether requests may be sent: not leaving, not backing off.

        After a request that certainly did not run, only one request is sent
        until one succeeds.
        """
        if self.listed.state is instance_list.State.leaving:
            return False
        if self._probing and self.in_flight:
            return False
        return self._clock.now() >= self._retry_at

    @property
    def load(self) -> float:
        """Return the expected requests per slot.

        Own requests count at once. Reported load decays with its age: only
        answers carry reports, so an old report of a full server would prevent
        the requests that could bring a newer one.
        """
        others = max(0, self._reported - self._in_flight_at_report)
        age_s = self._clock.now() - self._reported_at
        weight = max(0, 1 - age_s / REPORT_MAX_AGE_S)
        return (self.in_flight + others * weight) / self.slots

    def record_load(self, running: int, queued: int, slots: int) -> None:
        """Record the load reported with an answer."""
        self._reported = running + queued
        self._reported_at = self._clock.now()
        self._in_flight_at_report = self.in_flight
        self.slots = max(1, slots)

    def record_success(self) -> None:
        """Reset the backoff after a success."""
        self._failures = 0
        self._probing = False

    def record_failure(self, *, not_started: bool = False) -> None:
        """Back off for a time that doubles with each consecutive failure.

        Failures during a backoff don't extend it, so that requests that fail
        together count once.
        """
        self._probing = self._probing or not_started
        self._reported = 0
        self._in_flight_at_report = self.in_flight
        if self._clock.now() < self._retry_at:
            return
        backoff_s = min(
            MIN_BACKOFF_S * (1 << min(self._failures, 8)),
            MAX_BACKOFF_S,
        )
        self._failures += 1
        self._retry_at = self._clock.now() + backoff_s
