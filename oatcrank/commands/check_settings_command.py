"""Validate a settings file without starting an instance."""

import argparse
import sys

import result

from oatcrank.commands import checked_file, command
from oatcrank.settings import settings, settings_check


class CheckSettingsCommand(command.Command):
    """Report all problems in a settings file."""

    name = 'check-settings'
    summary = 'check a settings file and list all its problems'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""
        parser.epilog = 'exit status: 0 valid, 1 problems or no such file'
        parser.add_argument(
            'file', help='settings, JSON with comments: see docs/SETTINGS.md'
        )

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Check the file and write its problems to standard error."""
        checked = checked_file.read(
            options.file,
            settings.Settings,
            settings_check.find_problems,
        )
        if isinstance(checked, result.Err):
            sys.stderr.write(f'{checked.err_value}\n')
            return command.ExitStatus.failed
        sys.stdout.write(f'{options.file}: good\n')
        return command.ExitStatus.success
