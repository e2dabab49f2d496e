"""Measure the memory that objects take in this process."""

import tracemalloc
from collections.abc import Callable, Iterable

from emulator import slope


def measure_sizes(
    sizes: Iterable[int],
    build_of: Callable[[int], Callable[[], object]],
) -> list[slope.Point]:
    """Return the bytes that the object built for each size keeps."""
    return [_measure(size, build_of(size)) for size in sizes]


def _measure(size: int, build: Callable[[], object]) -> slope.Point:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    kept_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del built
    return slope.point(size, [kept_bytes])
