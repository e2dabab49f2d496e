"""Replay a trace against a whole site that is started for it."""

import argparse
import asyncio
import pathlib
import sys
import tempfile

import msgspec

from emulator import (
    launch_error,
    launcher,
    poll,
    running_site,
    trace_site,
)
from emulator.replaying import replay, replay_text, trace
from oatcrank import errors, rpc
from oatcrank.commands import command
from oatcrank.configuration import change, operator_messages, profile
from oatcrank.placing import placement_kind
from oatcrank.settings import settings

ENTRY_COUNT = 3
TIMEOUT_S = 15.0
FAILURES = (
    launch_error.LaunchError,
    errors.OatcrankError,
    rpc.RpcStatusError,
    OSError,
)


async def run(
    replayed: trace.Trace,
    placement: placement_kind.PlacementKind,
    *,
    speed: float,
    directory: pathlib.Path,
) -> replay.ReplayReport:
    """Start a trace's site, replay and end it; raises one of FAILURES."""
    async with launcher.Launcher(directory) as started:
        running = running_site.RunningSite(
            started,
            trace_site.of_trace(replayed, placement),
            directory,
        )
        ports = [launcher.free_port() for _ in range(ENTRY_COUNT)]
        await running.start_outside(ports)
        await running.start_entries(ports)
        await _create_profiles(running)
        known = msgspec.json.decode(
            (directory / f'{running.entries[0].name}.json').read_bytes(),
            type=settings.Settings,
        )
        return await replay.Replay(replayed, known, speed=speed).run()


async def _create_profiles(running: running_site.RunningSite) -> None:
    client = rpc.Rpc()
    try:
        for wanted in running.site.profiles:
            await _create(client, running.entries[0].address, wanted)
        for entry in running.entries:
            await _await_profiles(client, entry.address, running.site.profiles)
    finally:
        client.close()


async def _create(
    client: rpc.Rpc,
    address: str,
    wanted: profile.Profile,
) -> None:
    await client.post(
        address,
        '/v1/profiles',
        operator_messages.ChangeRequest(who='replay', profile=wanted),
        change.Change,
        timeout_s=TIMEOUT_S,
    )


async def _await_profiles(
    client: rpc.Rpc,
    address: str,
    wanted: tuple[profile.Profile, ...],
) -> None:
    names = {each.name for each in wanted}
    known: set[str] = set()
    while not names <= known:
        await asyncio.sleep(poll.STEP_S)
        listed = await client.get(
            address,
            '/v1/profiles',
            operator_messages.ProfileList,
            timeout_s=TIMEOUT_S,
        )
        known = {state.name for state in listed.profiles}


def main(arguments: list[str]) -> int:
    """Replay and print; 1 if a stated outcome did not hold, 2 on failure."""
    options = _parser().parse_args(arguments)
    with tempfile.TemporaryDirectory(prefix='oatcrank-replay-') as name:
        try:
            report = asyncio.run(
                run(
                    _excerpt(trace.read(options.trace), options.seconds),
                    placement_kind.PlacementKind(options.policy),
                    speed=options.speed,
                    directory=pathlib.Path(name),
                )
            )
        except FAILURES as error:
            sys.stderr.write(f'emulator replay: {error}\n')
            return int(command.ExitStatus.usage.value)
    sys.stdout.write(replay_text.text(report))
    if report.held:
        return int(command.ExitStatus.success.value)
    return int(command.ExitStatus.failed.value)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='emulator replay')
    parser.add_argument('trace', type=pathlib.Path)
    parser.add_argument(
        '--policy',
        choices=[kind.value for kind in placement_kind.PlacementKind],
        default=placement_kind.PlacementKind.expected_gain.value,
    )
    parser.add_argument(
        '--seconds', type=float, help='replay only the first of the trace'
    )
    parser.add_argument('--speed', type=float, default=1.0)
    return parser


def _excerpt(replayed: trace.Trace, seconds: float | None) -> trace.Trace:
    if seconds is None or seconds >= replayed.head.seconds:
        return replayed
    return trace.Trace(
        head=msgspec.structs.replace(replayed.head, seconds=seconds),
        arrivals=tuple(
            arrival for arrival in replayed.arrivals if arrival.at < seconds
        ),
        events=tuple(event for event in replayed.events if event.at < seconds),
    )
