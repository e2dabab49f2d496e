"""Tell refused callers when a server with a limit has a place for them.

Load pattern: more callers are refused than the limit can serve at once, and all
of them come back.
"""

# Callers that are told to wait longer would give up.
MAX_RETURN_S = 10.0


class ReturnSchedule:
    """Space out the returns of the callers that one instance has refused."""

    def __init__(self) -> None:
        """Start without callers that will return."""
        self._last_return_s = float(0)

    def reserve_s(
        self, wait_s: float, interval_s: float, now_s: float
    ) -> float:
        """Return after how many seconds the next caller should return.

        The server has a place after wait_s, and one for this instance's callers
        each interval_s.
        """
        return_s = max(now_s + wait_s, self._last_return_s + interval_s)
        self._last_return_s = min(return_s, now_s + MAX_RETURN_S)
        return self._last_return_s - now_s
