"""Watch which models the engines hold while a trace is replayed."""

import asyncio
import collections

import msgspec

from oatcrank import clock, errors, ids, rpc
from oatcrank.engines import engine
from oatcrank.membership import instance_list
from oatcrank.settings import platform_settings

PERIOD_S = 0.5
TIMEOUT_S = 1.0


class InstanceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the platform's list."""

    instances: tuple[instance_list.Instance, ...]


class ReplayWatch:
    """Read every engine's report, and count what changes between reports."""

    def __init__(self, platform: platform_settings.PlatformSettings) -> None:
        """Read the list of engines from the platform."""
        self._platform = platform
        self._rpc = rpc.Rpc()
        self._clock = clock.MonotonicClock()
        self._last_s: float | None = None
        self._report_by_server: dict[ids.ServerId, engine.EngineReport] = {}
        self.moves_by_kind: collections.Counter[str] = collections.Counter()
        self.held_server_s: float = 0
        self.seconds: float = 0
        self.unread = 0
        self.counted_until_s = float('inf')

    @property
    def used(self) -> int:
        """Return how many servers held a model when last read."""
        return sum(
            bool(report.held) for report in self._report_by_server.values()
        )

    async def run(self) -> None:
        """Read again and again until cancelled."""
        while True:
            await self.read()
            await asyncio.sleep(PERIOD_S)

    async def read(self) -> None:
        """Read every engine once; one that can't be read held as before."""
        try:
            engines = await self.engines()
        except errors.OatcrankError:
            self.unread += 1
            return
        await asyncio.gather(*map(self._read_one, engines))
        # What is held after the trace's end serves no arrival of it.
        now = min(self._clock.now(), self.counted_until_s)
        if self._last_s is not None:
            self.seconds += now - self._last_s
            self.held_server_s += (now - self._last_s) * self.used
        self._last_s = now

    async def engines(self) -> list[instance_list.Instance]:
        """Return the listed engines; raises errors.OatcrankError."""
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
        """Close every connection."""
        self._rpc.close()

    async def _read_one(self, instance: instance_list.Instance) -> None:
        try:
            report = await self._rpc.get(
                instance.address,
                '/v1/report',
                engine.EngineReport,
                timeout_s=TIMEOUT_S,
            )
        except errors.OatcrankError:
            self.unread += 1
            return
        last = self._report_by_server.get(report.server_id)
        self._report_by_server[report.server_id] = report
        if last is not None and last.boot_id == report.boot_id:
            self._count(last, report)

    def _count(
        self,
        last: engine.EngineReport,
        report: engine.EngineReport,
    ) -> None:
        before = {held.model: set(held.adapters) for held in last.held}
        after = {held.model: set(held.adapters) for held in report.held}
        self.moves_by_kind['load'] += len(after.keys() - before.keys())
        self.moves_by_kind['unload'] += len(before.keys() - after.keys())
        for model, adapters in after.items():
            added = adapters - before.get(model, set())
            self.moves_by_kind['load_adapter'] += len(added)
