"""Show how an entry instance is and whom it knows."""

import argparse
import sys

import msgspec

from oatcrank.commands import command, operator_client, table
from oatcrank.configuration import operator_messages


class StatusCommand(command.Command):
    """Show the members, the newest change and the documents' versions."""

    name = 'status'
    summary = 'show an instance, the members it knows and the newest change'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Describe the arguments."""
        operator_client.add_arguments(parser)

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Ask the instance and show its answer."""
        try:
            found = operator_client.ask(
                options.address,
                'GET',
                '/v1/status',
                operator_messages.Status,
            )
        except operator_client.CommandFailed as error:
            sys.stderr.write(f'{error}\n')
            return error.status
        if options.output == 'json':
            sys.stdout.write(f'{msgspec.json.encode(found).decode()}\n')
        else:
            sys.stdout.write(_text(found))
        return command.ExitStatus.success


def _text(found: operator_messages.Status) -> str:
    members = table.text(
        ('member', 'address', 'failure domain', 'leaving'),
        (
            (one.instance_id, one.address, one.failure_domain, one.leaving)
            for one in found.members
        ),
    )
    versions = table.text(
        ('document', 'version'), found.version_by_name.items()
    )
    sections = msgspec.json.format(msgspec.json.encode(found.sections)).decode()
    return (
        f'instance {found.this.instance_id}, newest change '
        + f'{found.newest_change}, isolated {found.isolated}\n\n'
        + f'{members}\n{versions}\n{sections}\n'
    )
