"""Show the audit trail of changes."""

import argparse
import sys

import msgspec

from oatcrank.commands import change_table, command, operator_client
from oatcrank.configuration import change, operator_messages


class AuditCommand(command.Command):
    """List all accepted changes with author, time and content."""

    name = 'audit'
    summary = 'list every accepted change in order'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""
        operator_client.add_arguments(parser)
        parser.add_argument(
            '--after',
            type=int,
            default=0,
            metavar='NUMBER',
            help='only changes after this number (default: all)',
        )

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Fetch all pages up to the newest change."""
        try:
            changes = _fetch(options.address, options.after)
        except operator_client.CommandFailed as error:
            sys.stderr.write(f'{error}\n')
            return error.status
        if options.output == 'json':
            sys.stdout.write(f'{msgspec.json.encode(changes).decode()}\n')
        else:
            sys.stdout.write(change_table.text(changes))
        return command.ExitStatus.success


def _fetch(address: str, after: int) -> list[change.Change]:
    changes: list[change.Change] = []
    while True:
        page = operator_client.call(
            address,
            'GET',
            f'/v1/audit?after={after}',
            operator_messages.ChangeList,
        )
        changes.extend(page.changes)
        if not page.changes:
            return changes
        after = changes[-1].number
