"""Run a load with several processes of the load tool."""

import argparse
import asyncio
import pathlib
import tempfile

import msgspec

from emulator import launcher, load_counts, load_report


async def run_processes(
    options: argparse.Namespace,
    arguments: list[str],
    counts: load_counts.LoadCounts,
) -> None:
    """Split the rate over options.processes processes and merge counts."""
    with tempfile.TemporaryDirectory(prefix='oatcrank-load-') as directory:
        report_files = [
            pathlib.Path(directory) / f'{number}.json'
            for number in range(options.processes)
        ]
        async with launcher.Launcher() as process_launcher:
            await asyncio.gather(
                *(
                    process_launcher.run_command(
                        ['-m', 'emulator', 'load', *arguments]
                        + _process_arguments(options, number, report_file)
                    )
                    for number, report_file in enumerate(report_files)
                ),
            )
        for report_file in report_files:
            counts.merge(
                msgspec.json.decode(
                    report_file.read_bytes(), type=load_report.LoadReport
                ),
            )


def _process_arguments(
    options: argparse.Namespace,
    number: int,
    report_file: pathlib.Path,
) -> list[str]:
    rate = options.rate / options.processes
    seed = options.seed * options.processes + number
    return [
        *('--processes', '1', '--rate', str(rate)),
        *('--seed', str(seed), '--json', str(report_file)),
    ]
