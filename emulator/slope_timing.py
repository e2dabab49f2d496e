"""Measure the CPU time of calls in this process."""

import time
from collections.abc import Callable, Iterable

from emulator import slope

US_PER_S = 1_000_000
REPEATS = 7
QUICK_REPEATS = 3


def measure_call(
    size: float,
    work: Callable[[], object],
    *,
    repeats: int,
    calls: int = 1,
) -> slope.Point:
    """Return the CPU time of a call in microseconds, over repeats."""
    measurements_us = []
    for _ in range(repeats):
        start_s = time.process_time()
        for _ in range(calls):
            work()
        spent_s = time.process_time() - start_s
        measurements_us.append(spent_s * US_PER_S / calls)
    return slope.point(size, measurements_us)


def measure_sizes(
    sizes: Iterable[int],
    work_of: Callable[[int], Callable[[], object]],
    *,
    repeats: int,
    calls: int = 1,
) -> list[slope.Point]:
    """Return the CPU time of a call for each size."""
    return [
        measure_call(size, work_of(size), repeats=repeats, calls=calls)
        for size in sizes
    ]
