"""Run a demonstration of a whole site on one machine."""

import argparse
import asyncio
import pathlib
import sys
import tempfile

from emulator import (
    demo_error,
    demo_steps,
    launch_error,
    launcher,
    running_site,
    sites,
)
from oatcrank import errors, rpc

EXPECTED_ERRORS = (
    demo_error.DemoError,
    launch_error.LaunchError,
    errors.OatcrankError,
    rpc.RpcStatusError,
    OSError,
)
LOG_TAIL_LINES = 5


async def run_demo(site_name: str, directory: pathlib.Path) -> None:
    """Run the demonstration; raises one of EXPECTED_ERRORS."""
    async with launcher.Launcher(directory) as process_launcher:
        demo_site = running_site.RunningSite(
            process_launcher, sites.SITE_BY_NAME[site_name], directory
        )
        steps = demo_steps.DemoSteps(process_launcher, demo_site, directory)
        await steps.start()
        await steps.create_profiles()
        await steps.request_completion()
        await steps.call_service()
        demo_steps.print_line('5. Stopping all started processes.')
    demo_steps.print_line('Done.')


def main(arguments: list[str]) -> int:
    """Run the demonstration and return the exit status."""
    parser = argparse.ArgumentParser(prog='emulator demo')
    parser.add_argument('--site', choices=sites.SITE_BY_NAME, default='yard')
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(
        prefix=f'oatcrank-{options.site}-'
    ) as name:
        directory = pathlib.Path(name)
        try:
            asyncio.run(run_demo(options.site, directory))
        except EXPECTED_ERRORS as error:
            sys.stderr.write(f'The demonstration failed: {error}\n')
            _show_logs(directory)
            return 1
    return 0


def _show_logs(directory: pathlib.Path) -> None:
    for log in sorted(directory.glob('*.log')):
        lines = log.read_text(errors='replace').splitlines()
        for line in lines[-LOG_TAIL_LINES:]:
            sys.stderr.write(f'{log.stem}: {line}\n')
