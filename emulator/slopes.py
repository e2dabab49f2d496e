"""Measure the slopes from which docs/CAPACITY.md projects costs."""

import argparse
import pathlib
import sys
from collections.abc import Iterator

import msgspec

from emulator import (
    launch_error,
    relay_row,
    slope,
    slope_changes,
    slope_claims,
    slope_controller,
    slope_fleet_sizes,
    slope_machine,
    slope_messages,
    slope_page,
    slope_placing,
    slope_plots,
)
from oatcrank import errors, rpc

DOCS_DIRECTORY = pathlib.Path(__file__).parent.parent / 'docs'
RESULTS_FILE = DOCS_DIRECTORY / 'slopes.json'
PAGE_FILE = DOCS_DIRECTORY / 'CAPACITY.md'
RELAY_FILE = DOCS_DIRECTORY / 'relay.json'
PLOTS_DIRECTORY = DOCS_DIRECTORY / 'plots'
SECTIONS = ('placing', 'controller', 'messages', 'changes', 'claims', 'fleet')
FAILURES = (launch_error.LaunchError, errors.OatcrankError, rpc.RpcStatusError)


def main(arguments: list[str]) -> int:
    """Measure the slopes and update the page; return 1 on a failure."""
    options = _parser().parse_args(arguments)
    try:
        if not options.page:
            _measure(options)
        if not options.quick:
            _write_page()
    except FAILURES as error:
        sys.stderr.write(f'The slopes could not be measured: {error}\n')
        return 1
    return 0


def read_results(path: pathlib.Path = RESULTS_FILE) -> slope.SlopeResults:
    """Return the slopes of the last measurement."""
    return msgspec.json.decode(path.read_bytes(), type=slope.SlopeResults)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='emulator slopes')
    parser.add_argument(
        '--only', choices=SECTIONS, help='measure a part, keep the others'
    )
    parser.add_argument(
        '--quick',
        action='store_true',
        help='few and small sizes; prints, but writes no file',
    )
    parser.add_argument(
        '--sizes', type=int, nargs='+', default=(), help='entry instances'
    )
    parser.add_argument(
        '--page',
        action='store_true',
        help='measure nothing; write the page from the figures',
    )
    return parser


def _measure(options: argparse.Namespace) -> None:
    slope_by_name = {}
    for measured in _measured_slopes(options):
        slope_by_name[measured.name] = measured
        sys.stdout.write(f'{slope_page.format_slope(measured)}\n')
        sys.stdout.flush()
    if options.quick:
        return
    previous_slopes = (
        read_results().slopes if options.only and RESULTS_FILE.exists() else ()
    )
    merged = {
        previous.name: previous for previous in previous_slopes
    } | slope_by_name
    results = slope.SlopeResults(
        machine=slope_machine.describe(),
        quick=False,
        slopes=tuple(merged[name] for name in sorted(merged)),
        relay=_relay_rows(),
    )
    text = msgspec.json.format(msgspec.json.encode(results), indent=1)
    RESULTS_FILE.write_text(f'{text.decode()}\n')


def _measured_slopes(options: argparse.Namespace) -> Iterator[slope.Slope]:
    sections = [options.only] if options.only else SECTIONS
    quick = options.quick
    if 'placing' in sections:
        yield from slope_placing.measure(quick=quick)
    if 'controller' in sections:
        yield from slope_controller.measure(quick=quick)
    if 'messages' in sections:
        yield from slope_messages.measure(quick=quick)
    if 'changes' in sections:
        yield from slope_changes.measure(quick=quick)
    if 'claims' in sections:
        yield from slope_claims.measure(quick=quick)
    if 'fleet' in sections:
        yield from slope_fleet_sizes.measure(quick=quick, sizes=options.sizes)


def _relay_rows() -> tuple[relay_row.RelayRow, ...] | None:
    if not RELAY_FILE.exists():
        return None
    return msgspec.json.decode(
        RELAY_FILE.read_bytes(), type=tuple[relay_row.RelayRow, ...]
    )


def _write_page() -> None:
    results = read_results()
    PAGE_FILE.write_text(
        slope_page.updated_page(PAGE_FILE.read_text(), results)
    )
    PLOTS_DIRECTORY.mkdir(exist_ok=True)
    slope_plots.draw(results, PLOTS_DIRECTORY)
