"""Replay a trace against the running system: `emulator replay-running`."""

import argparse
import asyncio
import pathlib
import sys

import jsonc
import msgspec

from emulator.replaying import (
    plots,
    policy_harness,
    replay,
    replay_text,
    tool,
    trace,
)
from oatcrank import errors
from oatcrank.commands import command
from oatcrank.settings import settings

PERCENT = 100
SYSTEM = 'system'

HELP = """\
Replay a trace against the running system and check the outcomes that the trace
states.  The requests go to the instance of the settings and to the instances
that it names.  Traces are in traces/; `emulator trace` writes others.

exit status: 0 the outcomes are as stated, 1 at least one is not, 2 a file is
invalid or the system could not be reached
"""


class ReplayCommand(command.Command):
    """Replay a trace and check its stated outcomes."""

    name = 'replay-running'
    summary = 'replay a trace against the running system'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments to a parser."""
        parser.description = HELP
        parser.add_argument('trace', type=pathlib.Path, help='a trace file')
        parser.add_argument(
            '--settings',
            type=pathlib.Path,
            required=True,
            metavar='FILE',
            help='settings of one running entry instance',
        )
        parser.add_argument(
            '--speed',
            type=_speed,
            default=1.0,
            help='seconds of the trace per second (default %(default)s)',
        )
        parser.add_argument(
            '--without-events',
            action='store_true',
            help="leave out the trace's faults and changes",
        )
        parser.add_argument(
            '--output',
            choices=['table', 'json'],
            default='table',
            help='a table to read, or JSON for programs (default %(default)s)',
        )
        parser.add_argument(
            '--plot',
            type=pathlib.Path,
            metavar='FILE',
            help='plot the measured figures over time (needs matplotlib)',
        )

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Replay, print and draw; failed if an outcome is not as stated."""
        try:
            report = _run(options)
        except errors.OatcrankError as error:
            sys.stderr.write(f'emulator replay-running: {error}\n')
            return command.ExitStatus.usage
        if report.passed:
            return command.ExitStatus.success
        return command.ExitStatus.failed


def _run(options: argparse.Namespace) -> replay.ReplayReport:
    recorded_trace = trace.read(options.trace)
    if options.without_events:
        recorded_trace = msgspec.structs.replace(recorded_trace, events=())
    instance_settings = _settings(options.settings)
    replayer = replay.Replay(
        recorded_trace, instance_settings, speed=options.speed
    )
    report = asyncio.run(replayer.run())
    _print(options, report)
    if options.plot:
        plots.draw(options.plot, _panels(replayer.samples))
    return report


def _settings(path: pathlib.Path) -> settings.Settings:
    try:
        loaded = jsonc.loads(path.read_text())
        return msgspec.convert(loaded, settings.Settings)
    except (OSError, ValueError) as error:
        raise errors.SettingsError(f'{path}: {error}') from error


def _speed(text: str) -> float:
    speed = float(text)
    if speed <= 0:
        raise argparse.ArgumentTypeError('speed must be above 0')
    return speed


def _print(options: argparse.Namespace, report: replay.ReplayReport) -> None:
    if options.output == 'json':
        encoded = msgspec.json.format(msgspec.json.encode(report))
        sys.stdout.write(f'{encoded.decode()}\n')
        return
    sys.stdout.write(replay_text.format_report(report))


def _panels(samples: list[policy_harness.Sample]) -> list[plots.Panel]:
    times = tuple(sample.at_s for sample in samples)
    figures_by_label: dict[str, list[float]] = {
        'attained, %': [
            PERCENT * sample.met / max(1, sample.arrived) for sample in samples
        ],
        'accelerators': [sample.used_servers for sample in samples],
        'moves': [sample.moves for sample in samples],
    }
    return [
        plots.Panel(
            x_label='seconds',
            y_label=label,
            lines=(
                plots.Line(
                    name=SYSTEM, x_values=times, y_values=tuple(figures)
                ),
            ),
        )
        for label, figures in figures_by_label.items()
    ]


def main(arguments: list[str]) -> int:
    """Run the command and return its exit status."""
    return tool.run(ReplayCommand(), arguments)
