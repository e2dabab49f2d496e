"""Check a settings file: `oatcrank check-settings`."""

import argparse
import pathlib
import sys

from oatcrank import checked_settings, command, errors


class CheckSettingsCommand(command.Command):
    """Be `oatcrank check-settings`."""

    name = 'check-settings'
    summary = 'name every fault of a settings file, and start nothing'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Describe the arguments."""
        parser.add_argument('file', type=pathlib.Path)

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Print the faults, or that there are none."""
        try:
            checked_settings.read(options.file)
        except errors.SettingsError as error:
            sys.stderr.write(f'{error}\n')
            return command.ExitStatus.usage
        print(f'{options.file}: no faults')
        return command.ExitStatus.success
