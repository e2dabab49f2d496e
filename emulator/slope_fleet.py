"""Measure a fleet of real entry processes on loopback."""

import asyncio
import pathlib
import tempfile
import time

import msgspec

from emulator import (
    key_value_service,
    launched_process,
    launcher,
    sites,
    slope_process,
    slope_site,
)
from oatcrank import ids, rpc
from oatcrank.configuration import change, operator_messages, profile

SITE = 'yard'
MAX_CONCURRENT_STARTS = 3
SETTLE_S = 8.0
CHANGE_SPACING_S = 0.4
CHANGE_PROPAGATION_S = 12.0
TIMEOUT_S = 5.0
PERCENT = 100


class FleetFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of each process, of the key-value service and of changes.

    in_force_s: times until all instances had applied a change.
    unapplied_changes: number of changes that some instance did not apply.
    """

    size: int
    cpu_percent: tuple[float, ...]
    memory_mb: tuple[float, ...]
    bytes_in_per_s: tuple[float, ...]
    bytes_out_per_s: tuple[float, ...]
    calls_per_s_by_path: dict[str, float]
    key_value_per_s_by_kind: dict[str, float]
    in_force_s: tuple[float, ...]
    unapplied_changes: int


class SlopeFleet:
    """Fleet of entry instances at an idle site."""

    def __init__(
        self,
        process_launcher: launcher.Launcher,
        directory: pathlib.Path,
        size: int,
    ) -> None:
        """Start nothing yet."""
        self._launcher = process_launcher
        self._directory = directory
        self._size = size
        self._running = slope_site.SlopeSite(
            process_launcher, sites.SITE_BY_NAME[SITE], directory
        )
        self._client = rpc.Rpc()
        self._entries: list[launched_process.LaunchedProcess] = []

    async def measure(self, seconds: float, changes: int) -> FleetFigures:
        """Measure the idle cost, then the time until changes are in force."""
        await self._start()
        await asyncio.sleep(SETTLE_S)
        calls_before = await self._key_value_calls()
        before = await self._usages()
        start_s = time.monotonic()
        await asyncio.sleep(seconds)
        after = await self._usages()
        calls_after = await self._key_value_calls()
        elapsed_s = time.monotonic() - start_s
        sent_s_by_number = await self._make_changes(changes)
        await asyncio.sleep(CHANGE_PROPAGATION_S)
        in_force = _in_force_s(sent_s_by_number, await self._usages())
        paths = set().union(*(usage.counts.calls_by_path for usage in after))
        return FleetFigures(
            size=self._size,
            cpu_percent=tuple(
                (new.cpu_s - old.cpu_s) / elapsed_s * PERCENT
                for old, new in zip(before, after, strict=True)
            ),
            memory_mb=tuple(usage.memory_mb for usage in after),
            bytes_in_per_s=tuple(
                (new.counts.bytes_in - old.counts.bytes_in) / elapsed_s
                for old, new in zip(before, after, strict=True)
            ),
            bytes_out_per_s=tuple(
                (new.counts.bytes_out - old.counts.bytes_out) / elapsed_s
                for old, new in zip(before, after, strict=True)
            ),
            calls_per_s_by_path={
                path: (_calls_to(path, after) - _calls_to(path, before))
                / elapsed_s
                / self._size
                for path in sorted(paths)
            },
            key_value_per_s_by_kind={
                kind: (count - calls_before.get(kind, 0)) / elapsed_s
                for kind, count in sorted(calls_after.items())
            },
            in_force_s=tuple(sorted(in_force)),
            unapplied_changes=changes - len(in_force),
        )

    async def _start(self) -> None:
        ports = [launcher.free_port() for _ in range(self._size)]
        await self._running.start_platform_and_servers(ports)
        start_limit = asyncio.Semaphore(MAX_CONCURRENT_STARTS)
        numbered_ports = enumerate(ports, start=1)
        self._entries = list(
            await asyncio.gather(
                *(
                    self._start_entry(start_limit, number, port)
                    for number, port in numbered_ports
                )
            ),
        )
        for proposed in self._running.site.profiles:
            await self._propose(proposed, number=0, based_on=0)

    async def _start_entry(
        self, start_limit: asyncio.Semaphore, number: int, port: int
    ) -> launched_process.LaunchedProcess:
        async with start_limit:
            name = f'entry-{number}'
            settings = self._running.write_settings(number, port)
            arguments = ['-m', 'emulator.slope_entry', '--settings']
            arguments += [
                str(settings),
                '--counts',
                str(self._counts_path(name)),
            ]
            return await self._launcher.start_python(name, arguments)

    def _counts_path(self, name: str) -> pathlib.Path:
        return self._directory / f'{name}.counts'

    async def _usages(self) -> list[slope_process.ProcessUsage]:
        return list(
            await asyncio.gather(
                *(
                    slope_process.read(process, self._counts_path(process.name))
                    for process in self._entries
                ),
            ),
        )

    async def _key_value_calls(self) -> dict[str, int]:
        counts = await self._client.get(
            self._running.key_value.address,
            '/control/ledger',
            key_value_service.CallCounts,
            timeout_s=TIMEOUT_S,
        )
        return counts.calls_by_kind

    async def _make_changes(self, count: int) -> dict[int, float]:
        sent_s_by_number = {}
        proposed = self._running.site.profiles[0]
        based_on = 1
        for number in range(count):
            sent_s = time.monotonic()
            accepted = await self._propose(proposed, number, based_on)
            sent_s_by_number[accepted.number] = sent_s
            based_on = accepted.number
            await asyncio.sleep(CHANGE_SPACING_S)
        return sent_s_by_number

    async def _propose(
        self, proposed: profile.Profile, number: int, based_on: int
    ) -> change.Change:
        entry = self._entries[number % self._size]
        path = f'/v1/profiles/{proposed.name}' if based_on else '/v1/profiles'
        request = operator_messages.ChangeRequest(
            who='slopes', based_on=ids.Revision(based_on), profile=proposed
        )
        text = await self._client.fetch(
            entry.address,
            'PUT' if based_on else 'POST',
            path,
            msgspec.json.encode(request),
            timeout_s=TIMEOUT_S,
        )
        return msgspec.json.decode(text, type=change.Change)


async def measure(size: int, *, seconds: float, changes: int) -> FleetFigures:
    """Start, measure and stop a fleet of one size; raises LaunchError."""
    with tempfile.TemporaryDirectory(prefix='oatcrank-slopes-') as name:
        directory = pathlib.Path(name)
        async with launcher.Launcher(directory) as process_launcher:
            fleet = SlopeFleet(process_launcher, directory, size)
            return await fleet.measure(seconds, changes)


def _calls_to(path: str, usages: list[slope_process.ProcessUsage]) -> int:
    return sum(usage.counts.calls_by_path.get(path, 0) for usage in usages)


def _in_force_s(
    sent_s_by_number: dict[int, float],
    usages: list[slope_process.ProcessUsage],
) -> list[float]:
    """Return the time until each change was in force in all instances.

    Changes that some instance did not apply are left out.
    """
    histories = [
        {applied.number: applied.at_s for applied in usage.counts.history}
        for usage in usages
    ]
    return [
        max(applied[number] for applied in histories) - sent_s
        for number, sent_s in sent_s_by_number.items()
        if all(number in applied for applied in histories)
    ]
