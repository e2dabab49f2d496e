"""Decide whether a request waits for servers that want no requests now."""

from collections.abc import Iterable

from oatcrank.routing import route, server

# A request waits no longer than this share of its latency target and this time
# in seconds, and only if no other server can take it.
MAX_WAIT_TARGET_SHARE = 0.5
MAX_WAIT_S = 0.5
# A stream that goes on waits longer, but its caller would disconnect.
MAX_REQUIRED_WAIT_S = 1.5


class PausedServers:
    """Wait of one request for servers that are paused or return."""

    def __init__(self, request_route: route.Route, began_s: float) -> None:
        """Limit the wait by the latency target of the route."""
        self._wait_by_s = began_s + min(
            MAX_WAIT_S, request_route.target_s * MAX_WAIT_TARGET_SHARE
        )

    def require(self, now_s: float) -> None:
        """Allow the longest wait, for a stream that has begun."""
        self._wait_by_s = now_s + MAX_REQUIRED_WAIT_S

    def may_wait(self, wait_s: float, now_s: float) -> bool:
        """Return whether the request may wait that long from now."""
        return now_s + wait_s <= self._wait_by_s


def soonest_s(
    candidates: Iterable[server.Server], now_s: float
) -> float | None:
    """Return the time until one of the servers has a place.

    Return None if none of them is paused or returns.
    """
    waits_s = (candidate.pause_state.wait_s(now_s) for candidate in candidates)
    return min(filter(None, waits_s), default=None)
