"""Compare streams relayed by an entry instance with direct streams.

Run with `python -m emulator.relay_benchmark --output FILE`.
"""

import argparse
import asyncio
import os
import pathlib
import statistics
import sys
import tempfile

import msgspec

from emulator import (
    launched_process,
    launcher,
    relay_reader,
    relay_row,
    relay_site,
)

STREAMS = (1, 100, 1600)
TOKENS = 60
READERS = 4
READER_TIMEOUT_S = 120
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
# Fields of /proc/PID/stat after the command's name; the last two before this
# index are user ticks and system ticks.
CPU_FIELDS_END = 13
US_PER_S = 1_000_000


async def measure(directory: pathlib.Path) -> list[relay_row.RelayRow]:
    """Measure every row in turn, direct streams before relayed ones."""
    async with launcher.Launcher(directory) as process_launcher:
        site = relay_site.RelaySite(process_launcher, directory)
        await site.start()
        rows = []
        for streams in STREAMS:
            direct = await _read(process_launcher, site, streams, direct=True)
            before = _cpu_s(site.entry)
            relayed = await _read(process_launcher, site, streams, direct=False)
            cpu_s = _cpu_s(site.entry) - before
            rows.append(_row(streams, direct, relayed, cpu_s))
        return rows


async def _read(
    process_launcher: launcher.Launcher,
    site: relay_site.RelaySite,
    streams: int,
    *,
    direct: bool,
) -> relay_reader.RelayFigures:
    readers = []
    for number in range(min(READERS, streams)):
        engine = site.engines[number]
        address = engine.address if direct else site.entry.address
        readers.append(
            _run_reader(
                [
                    *('--address', address, '--profile', relay_site.PROFILE),
                    *('--model', relay_site.model_of(number)),
                    *('--streams', str(max(1, streams // READERS))),
                    *('--tokens', str(TOKENS), '--seed', str(number)),
                ],
            ),
        )
    figures_by_reader = await asyncio.gather(*readers)
    total = relay_reader.RelayFigures()
    for figures in figures_by_reader:
        total.tokens += figures.tokens
        total.cut += figures.cut
        total.first_s += figures.first_s
        total.whole_s += figures.whole_s
    return total


async def _run_reader(arguments: list[str]) -> relay_reader.RelayFigures:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'emulator.relay_reader',
        *arguments,
        cwd=launcher.ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(READER_TIMEOUT_S):
            printed, _ = await process.communicate()
    except TimeoutError:
        process.kill()
        raise
    return msgspec.json.decode(printed, type=relay_reader.RelayFigures)


def _row(
    streams: int,
    direct: relay_reader.RelayFigures,
    relayed: relay_reader.RelayFigures,
    cpu_s: float,
) -> relay_row.RelayRow:
    return relay_row.RelayRow(
        streams=streams,
        tokens=relayed.tokens,
        cut=relayed.cut + direct.cut,
        first_ratio=_median_ratio(relayed.first_s, direct.first_s),
        rate_ratio=_median_ratio(direct.whole_s, relayed.whole_s),
        cpu_us_per_token=cpu_s * US_PER_S / max(1, relayed.tokens),
        core_share=cpu_s / max(relayed.whole_s),
        tokens_per_s=relayed.tokens / max(relayed.whole_s),
    )


def _median_ratio(numerators: list[float], denominators: list[float]) -> float:
    return statistics.median(numerators) / statistics.median(denominators)


def _cpu_s(process: launched_process.LaunchedProcess) -> float:
    stat = pathlib.Path(f'/proc/{process.pid}/stat').read_text()
    fields = stat.rsplit(')', 1)[1].split()
    user, system = fields[CPU_FIELDS_END - 2 : CPU_FIELDS_END]
    return (int(user) + int(system)) / TICKS_PER_S


def main(arguments: list[str]) -> int:
    """Print a table, and write the rows as JSON to the output file."""
    parser = argparse.ArgumentParser(prog='emulator.relay_benchmark')
    parser.add_argument('--output', type=pathlib.Path)
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as directory:
        rows = asyncio.run(measure(pathlib.Path(directory)))
    sys.stdout.write(f'{relay_row.table(rows)}\n')
    if options.output is not None:
        encoded = msgspec.json.format(msgspec.json.encode(rows), indent=2)
        options.output.write_text(f'{encoded.decode()}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
