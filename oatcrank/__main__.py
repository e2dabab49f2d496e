"""Run the command line."""

import argparse
import sys

from oatcrank import __version__
from oatcrank.commands import command, commands

DESCRIPTION = """\
Serve many bursty models from fewer accelerators.

Start an entry instance with `oatcrank serve`; tell it what to promise with
`oatcrank profile create`; see what it does with `oatcrank status`.

Each command tells more with --help, such as `oatcrank serve --help`."""
EXIT_STATUSES = """\
exit status: 0 success, 1 failed (also: check-settings found faults), 2 wrong
usage or a wrong file, 3 another operator's change came first, 4 nobody could be
reached or do it now, 5 no such profile.  docs/OPERATING.md tells more."""


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
    words = parser.add_subparsers(metavar='COMMAND', required=True)
    for one in commands.ALL:
        _add(words, one)
    options = parser.parse_args(arguments)
    return int(options.run(options))


def _add(
    words: 'argparse._SubParsersAction[argparse.ArgumentParser]',
    one: command.Command,
) -> None:
    parser = words.add_parser(
        one.name,
        help=one.summary,
        description=one.summary,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    one.add_arguments(parser)
    parser.set_defaults(run=one.run)


if __name__ == '__main__':
    sys.exit(main())
