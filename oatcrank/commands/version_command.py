"""Print the version."""

import argparse

from oatcrank import __version__
from oatcrank.commands import command


class VersionCommand(command.Command):
    """Print the version."""

    name = 'version'
    summary = 'print the version'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add no arguments."""

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Print the version on one line."""
        print(f'oatcrank {__version__}')
        return command.ExitStatus.success
