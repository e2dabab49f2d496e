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
Replay a trace against the running system and say whether the outcomes that it
states held.  The requests go to the instance of the settings and to those that
it names.  Traces are in traces/; `emulator trace` writes others.

exit status: 0 the stated outcomes held, 1 one did not, 2 a file is wrong or the
system could not be reached
"""


class ReplayCommand(command.Command):
    """Replay a trace and say whether its stated outcomes held."""

    name = 'replay-running'
    summary = 'replay a trace against the running system'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Describe the arguments."""
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
            help='trace seconds that pass in a second (default %(default)s)',
        )
        parser.add_argument(
            '--without-events',
            action='store_true',
            help="bring about none of the trace's faults and changes",
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
            help='draw what was measured over time (needs matplotlib)',
        )

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Replay, print and draw; failed if an outcome did not hold."""
        try:
            report = _run(options)
        except errors.OatcrankError as error:
            sys.stderr.write(f'emulator replay-running: {error}\n')
            return command.ExitStatus.usage
        if report.held:
            return command.ExitStatus.success
        return command.ExitStatus.failed


def _run(options: argparse.Namespace) -> replay.ReplayReport:
    recorded = trace.read(options.trace)
    if options.without_events:
        recorded = msgspec.structs.replace(recorded, events=())
    known = _settings(options.settings)
    running = replay.Replay(recorded, known, speed=options.speed)
    report = asyncio.run(running.run())
    _print(options, report)
    if options.plot:
        plots.draw(options.plot, _panels(running.samples))
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
    sys.stdout.write(replay_text.text(report))


def _panels(samples: list[policy_harness.Sample]) -> list[plots.Panel]:
    across = tuple(sample.at_s for sample in samples)
    figures_by_label: dict[str, list[float]] = {
        'attained, %': [
            PERCENT * sample.met / max(1, sample.arrived) for sample in samples
        ],
        'accelerators': [sample.used for sample in samples],
        'moves': [sample.moves for sample in samples],
    }
    return [
        plots.Panel(
            across='seconds',
            up=label,
            lines=(plots.Line(name=SYSTEM, across=across, up=tuple(figures)),),
        )
        for label, figures in figures_by_label.items()
    ]


def main(arguments: list[str]) -> int:
    """Run the tool with its arguments."""
    return tool.run(ReplayCommand(), arguments)
