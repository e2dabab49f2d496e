"""Run an instance on the users' platform, and load nothing else."""

import argparse
import sys

from oatcrank.platform import platform_command


def main() -> int:
    """Run the command and return its exit status."""
    chosen = platform_command.PlatformCommand()
    parser = argparse.ArgumentParser(
        prog='oatcrank platform',
        description=chosen.summary,
    )
    chosen.add_arguments(parser)
    return int(chosen.run(parser.parse_args()))


if __name__ == '__main__':
    sys.exit(main())
