"""Measure what relaying costs: through an entry instance against straight.

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
    launched,
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
USER_FIELD = 13
MICROSECONDS = 1_000_000


async def measure(directory: pathlib.Path) -> list[relay_row.RelayRow]:
    """Run every row, straight and through, one after the other."""
    async with launcher.Launcher(directory) as started_by:
        site = relay_site.RelaySite(started_by, directory)
        await site.start()
        rows = []
        for streams in STREAMS:
            straight = await _read(started_by, site, streams, straight=True)
            before = _cpu_s(site.entry)
            through = await _read(started_by, site, streams, straight=False)
            cpu_s = _cpu_s(site.entry) - before
            rows.append(_row(streams, straight, through, cpu_s))
        return rows


async def _read(
    started_by: launcher.Launcher,
    site: relay_site.RelaySite,
    streams: int,
    *,
    straight: bool,
) -> relay_reader.RelayFigures:
    readers = []
    for number in range(min(READERS, streams)):
        engine = site.engines[number]
        address = engine.address if straight else site.entry.address
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
    found = await asyncio.gather(*readers)
    whole = relay_reader.RelayFigures()
    for figures in found:
        whole.tokens += figures.tokens
        whole.cut += figures.cut
        whole.first_s += figures.first_s
        whole.whole_s += figures.whole_s
    return whole


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
    straight: relay_reader.RelayFigures,
    through: relay_reader.RelayFigures,
    cpu_s: float,
) -> relay_row.RelayRow:
    return relay_row.RelayRow(
        streams=streams,
        tokens=through.tokens,
        cut=through.cut + straight.cut,
        first_ratio=_ratio(through.first_s, straight.first_s),
        rate_ratio=_ratio(straight.whole_s, through.whole_s),
        cpu_us_per_token=cpu_s * MICROSECONDS / max(1, through.tokens),
        core_share=cpu_s / max(through.whole_s),
        tokens_per_s=through.tokens / max(through.whole_s),
    )


def _ratio(above: list[float], below: list[float]) -> float:
    return statistics.median(above) / statistics.median(below)


def _cpu_s(process: launched.Launched) -> float:
    stat = pathlib.Path(f'/proc/{process.pid}/stat').read_text()
    fields = stat.rsplit(')', 1)[1].split()
    user, system = fields[USER_FIELD - 2 : USER_FIELD]
    return (int(user) + int(system)) / TICKS_PER_S


def main(arguments: list[str]) -> int:
    """Print a table and write the rows as JSON."""
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
