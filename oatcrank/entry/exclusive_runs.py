"""Interface to run suspects one at a time at a server."""

import abc

from oatcrank import ids
from oatcrank.entry import exclusive_run


class ExclusiveRuns(abc.ABC):
    """Keep suspects of all instances apart.

    A request that would be refused after one more crash runs on a server
    without another one, so that a crash tells which of them caused it.
    """

    @abc.abstractmethod
    async def begin(
        self, server: ids.ServerId, duration_s: float
    ) -> exclusive_run.ExclusiveRun | None:
        """Return a run of at most duration_s; None while another goes on."""

    @abc.abstractmethod
    async def end(self, run: exclusive_run.ExclusiveRun) -> None:
        """End a run, so that the next one may begin."""
