"""Measure real entry processes at several sizes of fleet."""

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
Seen = Callable[[Figures], Sequence[float]]


def measure(*, quick: bool, sizes: Sequence[int] = ()) -> Iterator[slope.Slope]:
    """Return the slopes of a fleet of real processes."""
    usual = QUICK_SIZES if quick else SIZES
    seen = [
        asyncio.run(
            slope_fleet.measure(
                size,
                seconds=QUICK_SECONDS if quick else SECONDS,
                changes=CHANGES,
            ),
        )
        for size in sizes or usual
    ]
    yield _fit(
        'daemon_core', '% of a core', seen, operator.attrgetter('core_per_cent')
    )
    yield _fit('controller_core', '% of a core', seen, _most_core)
    yield _fit('daemon_memory', 'MB', seen, operator.attrgetter('memory_mb'))
    yield _fit(
        'daemon_bytes_in', 'B/s', seen, operator.attrgetter('bytes_in_per_s')
    )
    yield _fit(
        'daemon_bytes_out', 'B/s', seen, operator.attrgetter('bytes_out_per_s')
    )
    yield _fit('change_in_force', 's', seen, _in_force)
    yield _fit('change_unheard', 'changes', seen, _unheard)
    for kind in KINDS:
        yield _fit(f'key_value_{kind}', 'calls/s', seen, _calls(kind))
    paths = set().union(*(one.calls_per_s_by_path for one in seen))
    for path in sorted(paths):
        name = f'daemon_calls_{path.replace("/", "_")}'
        yield _fit(name, 'calls/s', seen, _path(path))


def _fit(
    name: str,
    unit: str,
    seen: Sequence[Figures],
    read: Seen,
) -> slope.Slope:
    return slope_fit.fit(
        name,
        [slope.point(figures.size, read(figures)) for figures in seen],
        unit=unit,
        per='entry instance',
        command=COMMAND,
        condition=CONDITION,
    )


def _most_core(figures: Figures) -> Sequence[float]:
    return [max(figures.core_per_cent)]


def _in_force(figures: Figures) -> Sequence[float]:
    return figures.in_force_s or [0]


def _unheard(figures: Figures) -> Sequence[float]:
    return [figures.unheard]


def _calls(kind: str) -> Seen:
    return lambda figures: [figures.key_value_per_s_by_kind.get(kind, 0)]


def _path(path: str) -> Seen:
    return lambda figures: [figures.calls_per_s_by_path.get(path, 0)]
