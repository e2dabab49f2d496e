"""Spread a load over several processes of the load tool."""

import argparse
import asyncio
import pathlib
import tempfile

import msgspec

from emulator import launcher, load_counts, load_report


async def spread(
    options: argparse.Namespace,
    arguments: list[str],
    counts: load_counts.LoadCounts,
) -> None:
    """Run options.processes tools at a share of the rate each."""
    with tempfile.TemporaryDirectory(prefix='oatcrank-load-') as directory:
        files = [
            pathlib.Path(directory) / f'{number}.json'
            for number in range(options.processes)
        ]
        async with launcher.Launcher() as started:
            await asyncio.gather(
                *(
                    started.command(
                        ['-m', 'emulator', 'load', *arguments]
                        + _own_arguments(options, number, file)
                    )
                    for number, file in enumerate(files)
                ),
            )
        for file in files:
            counts.merge(
                msgspec.json.decode(
                    file.read_bytes(), type=load_report.LoadReport
                ),
            )


def _own_arguments(
    options: argparse.Namespace,
    number: int,
    file: pathlib.Path,
) -> list[str]:
    rate = options.rate / options.processes
    seed = options.seed * options.processes + number
    return [
        *('--processes', '1', '--rate', str(rate)),
        *('--seed', str(seed), '--json', str(file)),
    ]
