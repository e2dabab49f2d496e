"""Measure fleets of real entry processes of several sizes."""

import asyncio
import operator
from collections.abc import Callable, Iterator, Sequence

from emulator import slope, slope_fit, slope_fleet

COMMAND = 'python -m emulator slopes --only fleet'
SIZES = (3, 9, 27, 81)
QUICK_SIZES = (3, 9)
SECONDS = 10
QUICK_SECONDS = 5
CHANGES = 8
KINDS = ('get', 'put', 'delete', 'watch')
CONDITION = 'idle site of 8 engines, defaults, one machine'

Figures = slope_fleet.FleetFigures
ReadFigure = Callable[[Figures], Sequence[float]]


def measure(*, quick: bool, sizes: Sequence[int] = ()) -> Iterator[slope.Slope]:
    """Return the slopes by the number of entry instances."""
    default_sizes = QUICK_SIZES if quick else SIZES
    measured = [
        asyncio.run(
            slope_fleet.measure(
                size,
                seconds=QUICK_SECONDS if quick else SECONDS,
                changes=CHANGES,
            ),
        )
        for size in sizes or default_sizes
    ]
    yield _fit(
        'daemon_core',
        '% of a core',
        measured,
        operator.attrgetter('cpu_percent'),
    )
    yield _fit('controller_core', '% of a core', measured, _max_core)
    yield _fit(
        'daemon_memory', 'MB', measured, operator.attrgetter('memory_mb')
    )
    yield _fit(
        'daemon_bytes_in',
        'B/s',
        measured,
        operator.attrgetter('bytes_in_per_s'),
    )
    yield _fit(
        'daemon_bytes_out',
        'B/s',
        measured,
        operator.attrgetter('bytes_out_per_s'),
    )
    yield _fit('change_in_force', 's', measured, _in_force)
    yield _fit('change_unheard', 'changes', measured, _not_applied)
    for kind in KINDS:
        yield _fit(
            f'key_value_{kind}', 'calls/s', measured, _key_value_calls(kind)
        )
    paths = set().union(*(figures.calls_per_s_by_path for figures in measured))
    for path in sorted(paths):
        name = f'daemon_calls_{path.replace("/", "_")}'
        yield _fit(name, 'calls/s', measured, _calls_to_path(path))


def _fit(
    name: str,
    unit: str,
    measured: Sequence[Figures],
    read: ReadFigure,
) -> slope.Slope:
    return slope_fit.fit(
        name,
        [slope.point(figures.size, read(figures)) for figures in measured],
        unit=unit,
        per='entry instance',
        command=COMMAND,
        condition=CONDITION,
    )


def _max_core(figures: Figures) -> Sequence[float]:
    return [max(figures.cpu_percent)]


def _in_force(figures: Figures) -> Sequence[float]:
    return figures.in_force_s or [0]


def _not_applied(figures: Figures) -> Sequence[float]:
    return [figures.unapplied_changes]


def _key_value_calls(kind: str) -> ReadFigure:
    return lambda figures: [figures.key_value_per_s_by_kind.get(kind, 0)]


def _calls_to_path(path: str) -> ReadFigure:
    return lambda figures: [figures.calls_per_s_by_path.get(path, 0)]
