"""Count the demand of this instance's callers between reports."""

import collections

from oatcrank import ids
from oatcrank.orders import demand, runs
from oatcrank.routing import need


class DemandCounter:
    """Count requests and their executions by need."""

    def __init__(self) -> None:
        """Start without any counts."""
        self._request_count_by_need: collections.Counter[need.Need] = (
            collections.Counter()
        )
        self._busy_s_by_need: dict[need.Need, float] = {}
        self._last_request_s_by_need: dict[need.Need, float] = {}
        self._running: collections.Counter[tuple[ids.ServerId, need.Need]] = (
            collections.Counter()
        )

    def record_demand(self, wanted: need.Need, now_s: float) -> None:
        """Count a request."""
        self._request_count_by_need[wanted] += 1
        self._last_request_s_by_need[wanted] = now_s

    def record_start(self, server_id: ids.ServerId, wanted: need.Need) -> None:
        """Count a request that starts at a server."""
        self._running[server_id, wanted] += 1

    def record_end(
        self,
        server_id: ids.ServerId,
        wanted: need.Need,
        seconds: float,
    ) -> None:
        """Remove a request that ended, and add its duration."""
        self._running[server_id, wanted] -= 1
        if not self._running[server_id, wanted]:
            del self._running[server_id, wanted]
        self._busy_s_by_need[wanted] = (
            self._busy_s_by_need.get(wanted, 0) + seconds
        )

    def running(self) -> tuple[runs.Running, ...]:
        """Return the number of running requests by server and need."""
        return tuple(
            runs.Running(server_id, wanted, count)
            for (server_id, wanted), count in self._running.items()
        )

    def take_samples(self, now_s: float) -> tuple[demand.DemandSample, ...]:
        """Return the counts since the last call, and reset them."""
        needs = self._request_count_by_need.keys() | self._busy_s_by_need.keys()
        samples = tuple(
            demand.DemandSample(
                wanted,
                self._request_count_by_need[wanted],
                self._busy_s_by_need.get(wanted, 0),
                now_s - self._last_request_s_by_need.get(wanted, now_s),
            )
            for wanted in needs
        )
        self._request_count_by_need.clear()
        self._busy_s_by_need.clear()
        self._last_request_s_by_need.clear()
        return samples
