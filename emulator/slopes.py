"""Measure the slopes that docs/CAPACITY.md multiplies by sizes."""

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
    slope_machine,
    slope_messages,
    slope_page,
    slope_placing,
    slope_plots,
    slope_real,
)
from oatcrank import errors, rpc

DOCS = pathlib.Path(__file__).parent.parent / 'docs'
BOOK = DOCS / 'slopes.json'
PAGE = DOCS / 'CAPACITY.md'
RELAY = DOCS / 'relay.json'
PLOTS = DOCS / 'plots'
PARTS = ('placing', 'controller', 'messages', 'changes', 'claims', 'fleet')
FAILURES = (launch_error.LaunchError, errors.OatcrankError, rpc.RpcStatusError)


def main(arguments: list[str]) -> int:
    """Measure, or write the page anew; 1 if anything failed."""
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


def read_book(path: pathlib.Path = BOOK) -> slope.SlopeBook:
    """Return the slopes that were measured last."""
    return msgspec.json.decode(path.read_bytes(), type=slope.SlopeBook)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='emulator slopes')
    parser.add_argument(
        '--only', choices=PARTS, help='measure a part, keep the others'
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
    for found in _all(options):
        slope_by_name[found.name] = found
        sys.stdout.write(f'{slope_page.line(found)}\n')
        sys.stdout.flush()
    if options.quick:
        return
    kept = read_book().slopes if options.only and BOOK.exists() else ()
    merged = {one.name: one for one in kept} | slope_by_name
    book = slope.SlopeBook(
        machine=slope_machine.described(),
        quick=False,
        slopes=tuple(merged[name] for name in sorted(merged)),
        relay=_relay(),
    )
    text = msgspec.json.format(msgspec.json.encode(book), indent=1)
    BOOK.write_text(f'{text.decode()}\n')


def _all(options: argparse.Namespace) -> Iterator[slope.Slope]:
    wanted = [options.only] if options.only else PARTS
    quick = options.quick
    if 'placing' in wanted:
        yield from slope_placing.measure(quick=quick)
    if 'controller' in wanted:
        yield from slope_controller.measure(quick=quick)
    if 'messages' in wanted:
        yield from slope_messages.measure(quick=quick)
    if 'changes' in wanted:
        yield from slope_changes.measure(quick=quick)
    if 'claims' in wanted:
        yield from slope_claims.measure(quick=quick)
    if 'fleet' in wanted:
        yield from slope_real.measure(quick=quick, sizes=options.sizes)


def _relay() -> tuple[relay_row.RelayRow, ...] | None:
    if not RELAY.exists():
        return None
    return msgspec.json.decode(
        RELAY.read_bytes(), type=tuple[relay_row.RelayRow, ...]
    )


def _write_page() -> None:
    book = read_book()
    PAGE.write_text(slope_page.renewed(PAGE.read_text(), book))
    PLOTS.mkdir(exist_ok=True)
    slope_plots.draw(book, PLOTS)
