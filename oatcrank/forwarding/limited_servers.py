"""Track the servers whose limits leave no room for one request."""

import msgspec

from oatcrank import ids
from oatcrank.forwarding import server_limiter
from oatcrank.routing import route, server

# A request waits for a permit no longer than this share of its latency target
# and this time in seconds, and only if no other server can take it.
MAX_WAIT_TARGET_SHARE = 0.5
MAX_WAIT_S = 0.5
# A stream that goes on waits longer, but its caller would disconnect.
MAX_REQUIRED_WAIT_S = 1.5


class _Limited(msgspec.Struct):
    server: server.Server
    wait_s: float


class LimitedServers:
    """Servers that have denied a permit to one request."""

    def __init__(
        self,
        limiter: server_limiter.ServerLimiter,
        request_route: route.Route,
    ) -> None:
        """Limit waits by the latency target of the route."""
        self._limiter = limiter
        self._max_wait_s = min(
            MAX_WAIT_S, request_route.target_s * MAX_WAIT_TARGET_SHARE
        )
        self._limited_by_id: dict[ids.ServerId, _Limited] = {}
        self._waited_for_ids: set[ids.ServerId] = set()

    @property
    def excluded_ids(self) -> frozenset[ids.ServerId]:
        """Return the servers that are not to be chosen."""
        return frozenset(self._limited_by_id)

    def exclude(self, limited: server.Server, wait_s: float) -> None:
        """Exclude a server; wait_s is the time until it has a place."""
        self._limited_by_id[limited.server_id] = _Limited(limited, wait_s)

    def require(self) -> None:
        """Allow the longest waits, for a stream that has begun."""
        self._max_wait_s = MAX_REQUIRED_WAIT_S
        self._waited_for_ids.clear()

    def permit_wait_s(self, server_id: ids.ServerId) -> float:
        """Return how long the request may wait for a permit."""
        return self._max_wait_s if server_id in self._waited_for_ids else 0

    def allow_wait(self) -> bool:
        """Allow the server with the shortest wait; return if there is one.

        Each server is waited for once.
        """
        waits = [
            limited
            for server_id, limited in self._limited_by_id.items()
            if server_id not in self._waited_for_ids
            and limited.wait_s <= self._max_wait_s
        ]
        if not waits:
            return False
        allowed_id = min(waits, key=_wait_s).server.server_id
        self._waited_for_ids.add(allowed_id)
        del self._limited_by_id[allowed_id]
        return True

    def retry_after_s(self) -> float | None:
        """Return when a refused caller should return; None without limits."""
        if not self._limited_by_id:
            return None
        soonest = min(self._limited_by_id.values(), key=_wait_s)
        return self._limiter.return_s(
            soonest.server.registration, soonest.wait_s
        )


def _wait_s(limited: _Limited) -> float:
    return limited.wait_s
