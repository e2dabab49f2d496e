"""Hold what an instance knows of the limit of one server process.

Load pattern: all instances have requests for a server with a limit, while
answers and messages about it arrive late, and its owner may not reply.
"""

from oatcrank.routing import limit_schedule, return_schedule

# A lower limit is raised to this, since only answers tell when it ends.
MIN_REQUESTS_PER_S = 0.2
# Share of a limit that is used without its owner: by all instances that it does
# not reply to together, and by one that is asked in its place.
SHARE_WITHOUT_OWNER = 0.5
# After a denied permit the owner is asked again after this long at most.
MAX_DENIED_S = 0.25


class ServerLimit:
    """Limit of a server, and the permits that this instance may use for it.

    requests_per_s: the limit, or None if the server names none.
    known_s: when the server said so.
    """

    def __init__(self) -> None:
        """Start without a limit."""
        self.requests_per_s: float | None = None
        self.known_s = float(0)
        self._owned: limit_schedule.LimitSchedule | None = None
        self._share: limit_schedule.LimitSchedule | None = None
        self._denied_until_s = float(0)
        self._returns = return_schedule.ReturnSchedule()

    def update(self, requests_per_s: float | None, known_s: float) -> bool:
        """Take newer knowledge over; return if a limit began or ended."""
        if known_s < self.known_s:
            return False
        changed = (requests_per_s is None) != (self.requests_per_s is None)
        self.requests_per_s = requests_per_s
        self.known_s = known_s
        if changed:
            self._denied_until_s = 0
        return changed

    def issue(
        self, max_wait_s: float, now_s: float, *, as_owner: bool
    ) -> limit_schedule.Permit:
        """Issue a permit of the owner, or of one that is asked in its place."""
        if self.requests_per_s is None:
            return limit_schedule.Permit(granted=True)
        if self._owned is None:
            self._owned = limit_schedule.LimitSchedule(now_s)
        share = 1 if as_owner else SHARE_WITHOUT_OWNER
        return self._owned.reserve(self._kept_per_s * share, max_wait_s, now_s)

    def use_share(
        self, instances: int, max_wait_s: float, now_s: float, jitter: float
    ) -> limit_schedule.Permit:
        """Use the share of one of some instances that don't reach the owner.

        The jitter, a random number from 0 to 1, spreads their first requests.
        """
        if self.requests_per_s is None:
            return limit_schedule.Permit(granted=True)
        requests_per_s = self._kept_per_s * SHARE_WITHOUT_OWNER / instances
        if self._share is None:
            self._share = limit_schedule.LimitSchedule(
                now_s, first_wait_s=jitter / requests_per_s, burst_s=0
            )
        return self._share.reserve(requests_per_s, max_wait_s, now_s)

    def end_share(self) -> None:
        """Use no share of this instance, since the owner has replied."""
        self._share = None

    def denied_s(self, now_s: float) -> float:
        """Return for how long no permit is to be asked for, in seconds."""
        return max(0, self._denied_until_s - now_s)

    def record_denied(self, wait_s: float, now_s: float) -> None:
        """Ask for no permit for a while, after one was denied."""
        self._denied_until_s = now_s + min(MAX_DENIED_S, wait_s)

    def return_s(self, instances: int, wait_s: float, now_s: float) -> float:
        """Return when one of this instance's refused callers should return."""
        if self.requests_per_s is None:
            return wait_s
        return self._returns.reserve_s(
            wait_s, instances / self._kept_per_s, now_s
        )

    @property
    def _kept_per_s(self) -> float:
        return max(MIN_REQUESTS_PER_S, self.requests_per_s or 0)
