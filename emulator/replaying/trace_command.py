"""Write a generated trace to a file: `python -m emulator trace`."""

import argparse
import pathlib
import sys

from emulator.replaying import tool, trace, trace_generator
from oatcrank.commands import command

HELP = """\
Write a synthetic trace: the requests to a site over time, with the outcomes
that a replay must reach.  The same seed gives the same file.  The demand
patterns (spells) and the file format are described in docs/TRACES.md; replay
the file with `emulator replay-running` or `emulator policy`.
"""


class TraceCommand(command.Command):
    """Write the trace that a seed generates."""

    name = 'trace'
    summary = 'write a generated trace of a site and demand pattern'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments to a parser."""
        parser.description = HELP
        parser.add_argument(
            'site',
            choices=trace_generator.SITES,
            help='site with its models, pools and limits: see docs/SITES.md',
        )
        parser.add_argument(
            'spell',
            choices=trace_generator.PATTERNS,
            help='demand pattern of the trace',
        )
        parser.add_argument('file', type=pathlib.Path, help='file to write')
        parser.add_argument(
            '--seed',
            type=int,
            default=trace_generator.COMMITTED_SEED,
            help='seed of the requests (default %(default)s)',
        )

        parser.add_argument(
            '--seconds',
            type=int,
            default=int(trace_generator.TRACE_S),
            help='length of the trace in seconds (default %(default)s)',
        )

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Write the file."""
        fault_free = trace_generator.generate(
            options.site,
            options.spell,
            options.seed,
            seconds=options.seconds,
        )
        try:
            trace.write(options.file, trace_generator.with_faults(fault_free))
        except OSError as error:
            sys.stderr.write(f'emulator trace: {options.file}: {error}\n')
            return command.ExitStatus.failed
        return command.ExitStatus.success


def main(arguments: list[str]) -> int:
    """Run the command and return its exit status."""
    return tool.run(TraceCommand(), arguments)
