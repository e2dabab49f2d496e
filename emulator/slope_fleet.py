"""Measure a fleet of real entry processes on loopback."""

import asyncio
import pathlib
import tempfile
import time

import msgspec

from emulator import (
    key_value_service,
    launched,
    launcher,
    sites,
    slope_process,
    slope_site,
)
from oatcrank import ids, rpc
from oatcrank.configuration import change, operator_messages, profile

SITE = 'yard'
STARTED_AT_ONCE = 3
SETTLE_S = 8.0
CHANGE_SPACING_S = 0.4
CHANGES_TRAVEL_S = 12.0
TIMEOUT_S = 5.0
PER_CENT = 100


class FleetFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Hold each process's shares, the service's calls and changes' times."""

    size: int
    core_per_cent: tuple[float, ...]
    memory_mb: tuple[float, ...]
    bytes_in_per_s: tuple[float, ...]
    bytes_out_per_s: tuple[float, ...]
    calls_per_s_by_path: dict[str, float]
    key_value_per_s_by_kind: dict[str, float]
    in_force_s: tuple[float, ...]
    unheard: int


class SlopeFleet:
    """Start entry instances at an idle site and watch what they spend."""

    def __init__(
        self,
        started: launcher.Launcher,
        directory: pathlib.Path,
        size: int,
    ) -> None:
        """Start nothing yet."""
        self._launcher = started
        self._directory = directory
        self._size = size
        self._running = slope_site.SlopeSite(
            started, sites.SITE_BY_NAME[SITE], directory
        )
        self._client = rpc.Rpc()
        self._entries: list[launched.Launched] = []

    async def measure(self, seconds: float, changes: int) -> FleetFigures:
        """Return what an idle time cost, then how fast changes travelled."""
        await self._start()
        await asyncio.sleep(SETTLE_S)
        calls = await self._calls()
        before = await self._spent()
        start_s = time.monotonic()
        await asyncio.sleep(seconds)
        after = await self._spent()
        calls_after = await self._calls()
        spent_s = time.monotonic() - start_s
        made_s_by_number = await self._change(changes)
        await asyncio.sleep(CHANGES_TRAVEL_S)
        in_force = _in_force_s(made_s_by_number, await self._spent())
        paths = set().union(*(one.counts.calls_by_path for one in after))
        return FleetFigures(
            size=self._size,
            core_per_cent=tuple(
                (new.core_s - old.core_s) / spent_s * PER_CENT
                for old, new in zip(before, after, strict=True)
            ),
            memory_mb=tuple(one.memory_mb for one in after),
            bytes_in_per_s=tuple(
                (new.counts.bytes_in - old.counts.bytes_in) / spent_s
                for old, new in zip(before, after, strict=True)
            ),
            bytes_out_per_s=tuple(
                (new.counts.bytes_out - old.counts.bytes_out) / spent_s
                for old, new in zip(before, after, strict=True)
            ),
            calls_per_s_by_path={
                path: (_calls_to(path, after) - _calls_to(path, before))
                / spent_s
                / self._size
                for path in sorted(paths)
            },
            key_value_per_s_by_kind={
                kind: (count - calls.get(kind, 0)) / spent_s
                for kind, count in sorted(calls_after.items())
            },
            in_force_s=tuple(sorted(in_force)),
            unheard=changes - len(in_force),
        )

    async def _start(self) -> None:
        ports = [launcher.free_port() for _ in range(self._size)]
        await self._running.start_outside(ports)
        gate = asyncio.Semaphore(STARTED_AT_ONCE)
        listed = enumerate(ports, start=1)
        self._entries = list(
            await asyncio.gather(
                *(
                    self._start_one(gate, number, port)
                    for number, port in listed
                )
            ),
        )
        for wanted in self._running.site.profiles:
            await self._propose(wanted, number=0, based_on=0)

    async def _start_one(
        self, gate: asyncio.Semaphore, number: int, port: int
    ) -> launched.Launched:
        async with gate:
            name = f'entry-{number}'
            settings = self._running.write_settings(number, port)
            arguments = ['-m', 'emulator.slope_entry', '--settings']
            arguments += [str(settings), '--counts', str(self._path(name))]
            return await self._launcher.python(name, arguments)

    def _path(self, name: str) -> pathlib.Path:
        return self._directory / f'{name}.counts'

    async def _spent(self) -> list[slope_process.Spent]:
        return list(
            await asyncio.gather(
                *(
                    slope_process.read(process, self._path(process.name))
                    for process in self._entries
                ),
            ),
        )

    async def _calls(self) -> dict[str, int]:
        counts = await self._client.get(
            self._running.key_value.address,
            '/control/ledger',
            key_value_service.CallCounts,
            timeout_s=TIMEOUT_S,
        )
        return counts.calls_by_kind

    async def _change(self, count: int) -> dict[int, float]:
        made_s_by_number = {}
        wanted = self._running.site.profiles[0]
        based_on = 1
        for number in range(count):
            sent_s = time.monotonic()
            made = await self._propose(wanted, number, based_on)
            made_s_by_number[made.number] = sent_s
            based_on = made.number
            await asyncio.sleep(CHANGE_SPACING_S)
        return made_s_by_number

    async def _propose(
        self, wanted: profile.Profile, number: int, based_on: int
    ) -> change.Change:
        entry = self._entries[number % self._size]
        path = f'/v1/profiles/{wanted.name}' if based_on else '/v1/profiles'
        asked = operator_messages.ChangeRequest(
            who='slopes', based_on=ids.Revision(based_on), profile=wanted
        )
        text = await self._client.fetch(
            entry.address,
            'PUT' if based_on else 'POST',
            path,
            msgspec.json.encode(asked),
            timeout_s=TIMEOUT_S,
        )
        return msgspec.json.decode(text, type=change.Change)


async def measure(size: int, *, seconds: float, changes: int) -> FleetFigures:
    """Start, measure and end a fleet of one size; raises LaunchError."""
    with tempfile.TemporaryDirectory(prefix='oatcrank-slopes-') as name:
        directory = pathlib.Path(name)
        async with launcher.Launcher(directory) as started:
            fleet = SlopeFleet(started, directory, size)
            return await fleet.measure(seconds, changes)


def _calls_to(path: str, spent: list[slope_process.Spent]) -> int:
    return sum(one.counts.calls_by_path.get(path, 0) for one in spent)


def _in_force_s(
    made_s_by_number: dict[int, float],
    spent: list[slope_process.Spent],
) -> list[float]:
    """Return how long each change took that all have applied."""
    history = [
        {one.number: one.at_s for one in found.counts.history}
        for found in spent
    ]
    return [
        max(at_s[number] for at_s in history) - made_s
        for number, made_s in made_s_by_number.items()
        if all(number in at_s for at_s in history)
    ]
