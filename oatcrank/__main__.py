"""Run the command line."""

import argparse
import sys

from oatcrank import __version__
from oatcrank.commands import command, commands

DESCRIPTION = """\
Serve many bursty models from fewer accelerators.

Start an entry instance with `oatcrank serve`, define latency targets with
`oatcrank profile create` and show its state with `oatcrank status`.

Use --help for details of a command, such as `oatcrank serve --help`."""
EXIT_STATUSES = """\
exit status: 0 success, 1 failed (also: check-settings found problems), 2 wrong
usage or an invalid file, 3 conflict with another operator's change, 4 instance
unreachable or unavailable, 5 no such profile.  See docs/OPERATING.md."""


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit status."""
    parser = argparse.ArgumentParser(
        prog='oatcrank',
        description=DESCRIPTION,
        epilog=EXIT_STATUSES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'oatcrank {__version__}',
    )
    subparsers = parser.add_subparsers(metavar='COMMAND', required=True)
    for subcommand in commands.ALL:
        _add_parser(subparsers, subcommand)
    options = parser.parse_args(arguments)
    return int(options.run(options))


def _add_parser(
    subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
    subcommand: command.Command,
) -> None:
    parser = subparsers.add_parser(
        subcommand.name,
        help=subcommand.summary,
        description=subcommand.summary,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subcommand.add_arguments(parser)
    parser.set_defaults(run=subcommand.run)


if __name__ == '__main__':
    sys.exit(main())
