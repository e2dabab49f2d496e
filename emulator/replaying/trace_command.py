"""Write a seeded trace to a file: `python -m emulator trace`."""

import argparse
import pathlib
import sys

from emulator.replaying import tool, trace, trace_generator
from oatcrank.commands import command

HELP = """\
Write a made-up trace: requests over some time, with the outcomes that a
replay must reach.  The same seed gives the same file.  Spells and the format
are described in docs/TRACES.md; `emulator replay-running` and `emulator policy`
use it.
"""


class TraceCommand(command.Command):
    """Write the trace that a seed gives."""

    name = 'trace'
    summary = 'write a seeded trace of a site and spell'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Describe the arguments."""
        parser.description = HELP
        parser.add_argument(
            'site',
            choices=trace_generator.SITES,
            help='whose models, pools and limits: see docs/SITES.md',
        )
        parser.add_argument(
            'spell',
            choices=trace_generator.SPELLS,
            help='how demand goes',
        )
        parser.add_argument('file', type=pathlib.Path, help='file to write')
        parser.add_argument(
            '--seed',
            type=int,
            default=trace_generator.COMMITTED_SEED,
            help='another seed gives other requests (default %(default)s)',
        )

        parser.add_argument(
            '--seconds',
            type=int,
            default=int(trace_generator.TRACE_S),
            help='how long the whole spell lasts (default %(default)s)',
        )

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Write the file."""
        usual = trace_generator.generate(
            options.site,
            options.spell,
            options.seed,
            seconds=options.seconds,
        )
        try:
            trace.write(options.file, trace_generator.with_faults(usual))
        except OSError as error:
            sys.stderr.write(f'emulator trace: {options.file}: {error}\n')
            return command.ExitStatus.failed
        return command.ExitStatus.success


def main(arguments: list[str]) -> int:
    """Run the tool with its arguments."""
    return tool.run(TraceCommand(), arguments)
