"""Replay a trace against a site that is started for the replay."""

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
REQUEST_TIMEOUT_S = 15.0
FAILURES = (
    launch_error.LaunchError,
    errors.OatcrankError,
    rpc.RpcStatusError,
    OSError,
)


async def run(
    recorded_trace: trace.Trace,
    placement: placement_kind.PlacementKind,
    *,
    speed: float,
    directory: pathlib.Path,
) -> replay.ReplayReport:
    """Start a trace's site, replay the trace and stop the site.

    Raises one of FAILURES.
    """
    async with launcher.Launcher(directory) as site_launcher:
        running = running_site.RunningSite(
            site_launcher,
            trace_site.from_trace(recorded_trace, placement),
            directory,
        )
        ports = [launcher.free_port() for _ in range(ENTRY_COUNT)]
        await running.start_platform_and_servers(ports)
        await running.start_entries(ports)
        await _create_profiles(running)
        instance_settings = msgspec.json.decode(
            (directory / f'{running.entries[0].name}.json').read_bytes(),
            type=settings.Settings,
        )
        return await replay.Replay(
            recorded_trace, instance_settings, speed=speed
        ).run()


async def _create_profiles(running: running_site.RunningSite) -> None:
    client = rpc.Rpc()
    try:
        for created in running.site.profiles:
            await _create_profile(
                client,
                running.entries[0].address,
                created,
            )
        for entry in running.entries:
            await _await_profiles(client, entry.address, running.site.profiles)
    finally:
        client.close()


async def _create_profile(
    client: rpc.Rpc,
    address: str,
    created: profile.Profile,
) -> None:
    await client.post(
        address,
        '/v1/profiles',
        operator_messages.ChangeRequest(who='replay', profile=created),
        change.Change,
        timeout_s=REQUEST_TIMEOUT_S,
    )


async def _await_profiles(
    client: rpc.Rpc,
    address: str,
    expected: tuple[profile.Profile, ...],
) -> None:
    expected_names = {awaited.name for awaited in expected}
    known_names: set[str] = set()
    while not expected_names <= known_names:
        await asyncio.sleep(poll.POLL_INTERVAL_S)
        listed = await client.get(
            address,
            '/v1/profiles',
            operator_messages.ProfileList,
            timeout_s=REQUEST_TIMEOUT_S,
        )
        known_names = {state.name for state in listed.profiles}


def main(arguments: list[str]) -> int:
    """Replay and print the report.

    Return 1 if an outcome is not as stated, 2 if the replay failed.
    """
    options = _parser().parse_args(arguments)
    with tempfile.TemporaryDirectory(prefix='oatcrank-replay-') as name:
        try:
            report = asyncio.run(
                run(
                    _first_seconds(trace.read(options.trace), options.seconds),
                    placement_kind.PlacementKind(options.policy),
                    speed=options.speed,
                    directory=pathlib.Path(name),
                )
            )
        except FAILURES as error:
            sys.stderr.write(f'emulator replay: {error}\n')
            return int(command.ExitStatus.usage.value)
    sys.stdout.write(replay_text.format_report(report))
    if report.passed:
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
        '--seconds', type=float, help='replay only the first seconds'
    )
    parser.add_argument('--speed', type=float, default=1.0)
    return parser


def _first_seconds(
    recorded_trace: trace.Trace, seconds: float | None
) -> trace.Trace:
    if seconds is None or seconds >= recorded_trace.header.seconds:
        return recorded_trace
    return trace.Trace(
        header=msgspec.structs.replace(recorded_trace.header, seconds=seconds),
        arrivals=tuple(
            arrival
            for arrival in recorded_trace.arrivals
            if arrival.at < seconds
        ),
        events=tuple(
            event for event in recorded_trace.events if event.at < seconds
        ),
    )
