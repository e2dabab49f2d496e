"""Define the base class of commands and their exit statuses."""

import abc
import argparse
import enum


class ExitStatus(enum.IntEnum):
    """Exit status of a command."""

    success = 0
    failed = 1
    usage = 2
    conflict = 3
    unavailable = 4
    not_found = 5


class Command(abc.ABC):
    """Base class for commands such as `oatcrank serve`."""

    name: str
    summary: str

    @abc.abstractmethod
    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""

    @abc.abstractmethod
    def run(self, options: argparse.Namespace) -> ExitStatus:
        """Run the command; write errors and their fix to standard error."""
