"""Show the audit trail of changes."""

import argparse
import sys

import msgspec

from oatcrank.commands import change_table, command, operator_client
from oatcrank.configuration import change, operator_messages


class AuditCommand(command.Command):
    """List every accepted change: who, when, before and after."""

    name = 'audit'
    summary = 'list every accepted change in order'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Describe the arguments."""
        operator_client.add_arguments(parser)
        parser.add_argument(
            '--after',
            type=int,
            default=0,
            metavar='NUMBER',
            help='only changes after this number (default: all)',
        )

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Read page after page up to the newest change."""
        try:
            found = _read(options.address, options.after)
        except operator_client.CommandFailed as error:
            sys.stderr.write(f'{error}\n')
            return error.status
        if options.output == 'json':
            sys.stdout.write(f'{msgspec.json.encode(found).decode()}\n')
        else:
            sys.stdout.write(change_table.text(found))
        return command.ExitStatus.success


def _read(address: str, after: int) -> list[change.Change]:
    found: list[change.Change] = []
    while True:
        page = operator_client.ask(
            address,
            'GET',
            f'/v1/audit?after={after}',
            operator_messages.ChangeList,
        )
        found.extend(page.changes)
        if not page.changes:
            return found
        after = found[-1].number
