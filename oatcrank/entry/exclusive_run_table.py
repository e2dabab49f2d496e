"""Grant exclusive runs at servers."""

from oatcrank import clock, ids
from oatcrank.entry import exclusive_run


class ExclusiveRunTable:
    """Hold the exclusive run of each server, until its end or its duration."""

    def __init__(self, clock: clock.Clock) -> None:
        """Start without runs."""
        self._clock = clock
        self._run_by_server: dict[ids.ServerId, exclusive_run.ExclusiveRun] = {}
        self._ends_s_by_server: dict[ids.ServerId, float] = {}

    def begin(self, run: exclusive_run.ExclusiveRun) -> bool:
        """Return whether a run may begin; repeating it changes nothing."""
        self._drop_ended()
        current = self._run_by_server.get(run.server)
        if current is not None:
            return current.holder == run.holder
        self._run_by_server[run.server] = run
        self._ends_s_by_server[run.server] = self._clock.now() + run.duration_s
        return True

    def end(self, run: exclusive_run.ExclusiveRun) -> None:
        """End a run, if it has not ended yet."""
        current = self._run_by_server.get(run.server)
        if current is not None and current.holder == run.holder:
            self._remove(run.server)

    def _drop_ended(self) -> None:
        now_s = self._clock.now()
        for server, ends_s in tuple(self._ends_s_by_server.items()):
            if ends_s <= now_s:
                self._remove(server)

    def _remove(self, server: ids.ServerId) -> None:
        del self._run_by_server[server]
        del self._ends_s_by_server[server]
