"""Monitor which models the engines hold while a trace is replayed."""

import asyncio
import collections

import msgspec

from oatcrank import clock, errors, ids, rpc
from oatcrank.engines import engine
from oatcrank.membership import instance_list
from oatcrank.settings import platform_settings

READ_PERIOD_S = 0.5
TIMEOUT_S = 1.0


class InstanceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of the platform's instance list."""

    instances: tuple[instance_list.Instance, ...]


class EngineMonitor:
    """Read all engines' reports and count the moves between them."""

    def __init__(self, platform: platform_settings.PlatformSettings) -> None:
        """Read the instance list of this platform."""
        self._platform = platform
        self._rpc = rpc.Rpc()
        self._clock = clock.MonotonicClock()
        self._last_s: float | None = None
        self._report_by_server: dict[ids.ServerId, engine.EngineReport] = {}
        self.moves_by_kind: collections.Counter[str] = collections.Counter()
        self.used_server_s: float = 0
        self.seconds: float = 0
        self.failed_reads = 0
        self.counted_until_s = float('inf')

    @property
    def used_servers(self) -> int:
        """Return how many servers held a model in their last report."""
        return sum(
            bool(report.held) for report in self._report_by_server.values()
        )

    async def run(self) -> None:
        """Read periodically until cancelled."""
        while True:
            await self.read()
            await asyncio.sleep(READ_PERIOD_S)

    async def read(self) -> None:
        """Read all engines once; an unreachable one keeps its last report."""
        try:
            engines = await self.engines()
        except errors.OatcrankError:
            self.failed_reads += 1
            return
        await asyncio.gather(*map(self._read_engine, engines))
        # Models held after the trace's end serve none of its arrivals.
        now = min(self._clock.now(), self.counted_until_s)
        if self._last_s is not None:
            self.seconds += now - self._last_s
            self.used_server_s += (now - self._last_s) * self.used_servers
        self._last_s = now

    async def engines(self) -> list[instance_list.Instance]:
        """Return the engines in the list; raises errors.OatcrankError."""
        listed = await self._rpc.get(
            self._platform.instance_list,
            '/v1/instances',
            InstanceAnswer,
            timeout_s=TIMEOUT_S,
        )
        return [
            instance
            for instance in listed.instances
            if instance.kind is instance_list.Kind.engine
        ]

    def close(self) -> None:
        """Close all connections."""
        self._rpc.close()

    async def _read_engine(self, instance: instance_list.Instance) -> None:
        try:
            report = await self._rpc.get(
                instance.address,
                '/v1/report',
                engine.EngineReport,
                timeout_s=TIMEOUT_S,
            )
        except errors.OatcrankError:
            self.failed_reads += 1
            return
        previous = self._report_by_server.get(report.server_id)
        self._report_by_server[report.server_id] = report
        if previous is not None and previous.boot_id == report.boot_id:
            self._count_moves(previous, report)

    def _count_moves(
        self,
        previous: engine.EngineReport,
        report: engine.EngineReport,
    ) -> None:
        before = {held.model: set(held.adapters) for held in previous.held}
        after = {held.model: set(held.adapters) for held in report.held}
        self.moves_by_kind['load'] += len(after.keys() - before.keys())
        self.moves_by_kind['unload'] += len(before.keys() - after.keys())
        for model, adapters in after.items():
            added = adapters - before.get(model, set())
            self.moves_by_kind['load_adapter'] += len(added)
