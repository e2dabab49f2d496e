"""Run an instance on the users' platform: `oatcrank platform`."""

import argparse
import asyncio
import os
import sys

from oatcrank import errors, logs
from oatcrank.commands import command
from oatcrank.platform import serve, settings
from oatcrank.routing import prompt_schedule

METRICS_PORT = 9464


class PlatformCommand(command.Command):
    """Command `oatcrank platform`."""

    name = 'platform'
    summary = "run an instance on the users' platform until SIGTERM"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments."""
        parser.add_argument(
            '--settings',
            default=os.environ.get(settings.SETTINGS_VARIABLE),
            metavar='FILE',
            help='settings, TOML '
            f'(default: the file named by ${settings.SETTINGS_VARIABLE})',
        )
        parser.add_argument(
            '--metrics-port',
            type=int,
            default=METRICS_PORT,
            metavar='PORT',
            help='port that serves /metrics (default: %(default)s)',
        )
        parser.add_argument(
            '--read-tokens-per-s',
            type=float,
            default=prompt_schedule.READ_TOKENS_PER_S,
            metavar='TOKENS',
            help='prompt tokens that a model server reads per second, '
            'which sets the spacing of prompts (default: %(default)s)',
        )
        parser.add_argument(
            '--check',
            action='store_true',
            help='only check the settings',
        )

    def run(self, options: argparse.Namespace) -> command.ExitStatus:
        """Serve until SIGTERM or SIGINT."""
        if options.settings is None:
            sys.stderr.write('no settings: give --settings FILE\n')
            return command.ExitStatus.usage
        try:
            platform_settings = settings.read(options.settings)
        except errors.SettingsError as error:
            sys.stderr.write(f'{error}\n')
            return command.ExitStatus.usage
        if options.read_tokens_per_s <= 0:
            sys.stderr.write('--read-tokens-per-s must be above 0\n')
            return command.ExitStatus.usage
        if options.check:
            return command.ExitStatus.success
        logs.start_standard_output(platform_settings.node_name)
        asyncio.run(
            serve.serve(
                options.settings,
                options.metrics_port,
                options.read_tokens_per_s,
            ),
        )
        return command.ExitStatus.success
