"""Run a tool that is a word of the emulator's command line."""

import argparse

from oatcrank.commands import command


def run(one: command.Command, arguments: list[str]) -> int:
    """Run a tool with its arguments and return its exit status."""
    parser = argparse.ArgumentParser(
        prog=f'emulator {one.name}',
        description=one.summary,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    one.add_arguments(parser)
    return int(one.run(parser.parse_args(arguments)))
