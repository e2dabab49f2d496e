"""Note what callers ask for here, until it is reported."""

import collections

from oatcrank import ids
from oatcrank.orders import demand, runs
from oatcrank.routing import need


class DemandNotes:
    """Count requests and runs, by what they need."""

    def __init__(self) -> None:
        """Note nothing yet."""
        self._times_by_need: collections.Counter[need.Need] = (
            collections.Counter()
        )
        self._busy_s_by_need: dict[need.Need, float] = {}
        self._last_s_by_need: dict[need.Need, float] = {}
        self._running: collections.Counter[tuple[ids.ServerId, need.Need]] = (
            collections.Counter()
        )

    def note_demand(self, wanted: need.Need, now_s: float) -> None:
        """Count a request."""
        self._times_by_need[wanted] += 1
        self._last_s_by_need[wanted] = now_s

    def note_start(self, server_id: ids.ServerId, wanted: need.Need) -> None:
        """Count a run that begins at a server."""
        self._running[server_id, wanted] += 1

    def note_end(
        self,
        server_id: ids.ServerId,
        wanted: need.Need,
        seconds: float,
    ) -> None:
        """Count a run that has ended, and how long it took."""
        self._running[server_id, wanted] -= 1
        if not self._running[server_id, wanted]:
            del self._running[server_id, wanted]
        self._busy_s_by_need[wanted] = (
            self._busy_s_by_need.get(wanted, 0) + seconds
        )

    def running(self) -> tuple[runs.Running, ...]:
        """Return what runs now."""
        return tuple(
            runs.Running(server_id, wanted, times)
            for (server_id, wanted), times in self._running.items()
        )

    def take_news(self, now_s: float) -> tuple[demand.DemandSample, ...]:
        """Return what was asked for since this was last called."""
        wants = self._times_by_need.keys() | self._busy_s_by_need.keys()
        news = tuple(
            demand.DemandSample(
                wanted,
                self._times_by_need[wanted],
                self._busy_s_by_need.get(wanted, 0),
                now_s - self._last_s_by_need.get(wanted, now_s),
            )
            for wanted in wants
        )
        self._times_by_need.clear()
        self._busy_s_by_need.clear()
        self._last_s_by_need.clear()
        return news
