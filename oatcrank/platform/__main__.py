"""Run an instance on the users' platform without the other commands."""

import argparse
import sys

from oatcrank.platform import platform_command


def main() -> int:
    """Run the command and return its exit status."""
    command = platform_command.PlatformCommand()
    parser = argparse.ArgumentParser(
        prog='oatcrank platform',
        description=command.summary,
    )
    command.add_arguments(parser)
    return int(command.run(parser.parse_args()))


if __name__ == '__main__':
    sys.exit(main())
