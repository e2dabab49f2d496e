"""Show the status of an entry instance."""

import argparse
import sys

import msgspec

from oatcrank.commands import command, operator_client, table
from oatcrank.configuration import operator_messages


class StatusCommand(command.Command):
    """Show the known members, the newest change and document versions."""

    name = 'status'
    summary = 'show an instance, the members it knows and the newest change'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""
        operator_client.add_arguments(parser)

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Fetch and show the instance's status."""
        try:
            status = operator_client.call(
                options.address,
                'GET',
                '/v1/status',
                operator_messages.Status,
            )
        except operator_client.CommandFailed as error:
            sys.stderr.write(f'{error}\n')
            return error.status
        if options.output == 'json':
            sys.stdout.write(f'{msgspec.json.encode(status).decode()}\n')
        else:
            sys.stdout.write(_text(status))
        return command.ExitStatus.success


def _text(status: operator_messages.Status) -> str:
    members = table.text(
        ('member', 'address', 'failure domain', 'leaving'),
        (
            (
                member.instance_id,
                member.address,
                member.failure_domain,
                member.leaving,
            )
            for member in status.members
        ),
    )
    versions = table.text(
        ('document', 'version'), status.version_by_name.items()
    )
    sections = msgspec.json.encode(status.sections)
    sections_text = msgspec.json.format(sections).decode()
    return (
        f'instance {status.this.instance_id}, newest change '
        + f'{status.newest_change}, isolated {status.isolated}\n\n'
        + f'{members}\n{versions}\n{sections_text}\n'
    )
