"""Run an entry instance: `oatcrank serve`."""

import argparse
import asyncio
import signal
import sys

import result

from oatcrank import logs
from oatcrank.commands import checked_file, command
from oatcrank.entry import entry_instance
from oatcrank.settings import settings, settings_check

HELP = """\
Run an entry instance until it receives SIGTERM or SIGINT.

It prints `ready entry <address>` once it listens, and logs to standard error.
SIGTERM or SIGINT stops it gracefully: callers no longer receive its address,
it serves for limits.address_keep_s plus one second, then waits at most
limits.stop_grace_s for requests in progress.

exit status: 0 stopped gracefully, 2 invalid settings (all problems are listed;
see also `oatcrank check-settings`)
"""


class ServeCommand(command.Command):
    """Run an entry instance."""

    name = 'serve'
    summary = 'run an entry instance until SIGTERM or SIGINT'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""
        parser.description = HELP
        parser.add_argument(
            '--settings',
            required=True,
            metavar='FILE',
            help='settings, JSON with comments: see docs/SETTINGS.md',
        )

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        checked = checked_file.read(
            options.settings,
            settings.Settings,
            settings_check.find_problems,
        )
        if isinstance(checked, result.Err):
            sys.stderr.write(f'{checked.err_value}\n')
            return command.ExitStatus.usage
        instance_settings = checked.ok_value
        logs.start(instance_settings.instance_id)
        asyncio.run(_serve(instance_settings))
        return command.ExitStatus.success


async def _serve(instance_settings: settings.Settings) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    instance = entry_instance.EntryInstance(instance_settings)
    await instance.start()
    sys.stdout.write(f'ready entry {instance_settings.address}\n')
    sys.stdout.flush()
    await stop_requested.wait()
    await instance.stop()
