"""Share what every command of the command line has in common."""

import abc
import argparse
import enum


class ExitStatus(enum.IntEnum):
    """Say how a command ended."""

    success = 0
    failed = 1
    usage = 2
    conflict = 3
    unavailable = 4
    not_found = 5


class Command(abc.ABC):
    """Be one word of the command line, such as `oatcrank serve`."""

    name: str
    summary: str

    @abc.abstractmethod
    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Describe the arguments."""

    @abc.abstractmethod
    def run(self, options: argparse.Namespace) -> ExitStatus:
        """Do the work; errors go to standard error with the fix."""
