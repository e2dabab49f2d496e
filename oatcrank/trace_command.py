"""Write a seeded trace to a file: `oatcrank trace`."""

import argparse
import pathlib
import sys

from oatcrank import command, trace, trace_generator


class TraceCommand(command.Command):
    """Write the trace that a seed gives."""

    name = 'trace'
    summary = 'write a seeded trace of a site and spell'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Describe the arguments."""
        parser.add_argument('site', choices=trace_generator.SITES)
        parser.add_argument('spell', choices=trace_generator.SPELLS)
        parser.add_argument('file', type=pathlib.Path)
        parser.add_argument(
            '--seed',
            type=int,
            default=trace_generator.COMMITTED_SEED,
        )

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Write the file."""
        usual = trace_generator.generate(
            options.site,
            options.spell,
            options.seed,
        )
        try:
            trace.write(options.file, trace_generator.with_faults(usual))
        except OSError as error:
            sys.stderr.write(f'oatcrank trace: {options.file}: {error}\n')
            return command.ExitStatus.failed
        return command.ExitStatus.success
