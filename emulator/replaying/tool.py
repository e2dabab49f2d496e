"""Run a tool of the emulator's command line."""

import argparse

from oatcrank.commands import command


def run(subcommand: command.Command, arguments: list[str]) -> int:
    """Run a tool with its arguments and return its exit status."""
    parser = argparse.ArgumentParser(
        prog=f'emulator {subcommand.name}',
        description=subcommand.summary,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subcommand.add_arguments(parser)
    return int(subcommand.run(parser.parse_args(arguments)))
