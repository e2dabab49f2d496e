"""Space out the requests to a server that has named a limit.

Load pattern: a server in need takes only a few requests a second from all
instances together, while each instance has requests for it.
"""

import msgspec

# Requests that were not sent for this long may be sent together.
BURST_S = 0.5


class Permit(msgspec.Struct, frozen=True):
    """Whether a request may be sent, after a wait in seconds.

    If it is not granted, wait_s is the time until the next one is free.
    """

    granted: bool
    wait_s: float = 0


class LimitSchedule:
    """Track when the next request may be sent to a server."""

    def __init__(
        self,
        now_s: float,
        *,
        first_wait_s: float = 0,
        burst_s: float = BURST_S,
    ) -> None:
        """Allow the first request after first_wait_s, and no burst yet."""
        self._burst_s = burst_s
        self._next_s = now_s + first_wait_s + burst_s

    def reserve(
        self, requests_per_s: float, max_wait_s: float, now_s: float
    ) -> Permit:
        """Reserve a place for a request that waits max_wait_s at most.

        The rate is over zero.
        """
        wait_s = max(0, self._next_s - self._burst_s - now_s)
        if wait_s > max_wait_s:
            return Permit(granted=False, wait_s=wait_s)
        self._next_s = max(self._next_s, now_s) + 1 / requests_per_s
        return Permit(granted=True, wait_s=wait_s)
