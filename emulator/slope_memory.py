"""Measure the memory that a state takes in this process."""

import tracemalloc
from collections.abc import Callable, Iterable

from emulator import slope


def each_size(
    sizes: Iterable[int],
    build_of: Callable[[int], Callable[[], object]],
) -> list[slope.Point]:
    """Return the bytes kept by what each size's work returns or fills."""
    return [_kept(size, build_of(size)) for size in sizes]


def _kept(size: int, build: Callable[[], object]) -> slope.Point:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    spent = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return slope.point(size, [spent])
