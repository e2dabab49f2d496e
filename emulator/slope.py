"""Measured slopes: costs as linear functions of a size."""

import statistics
from collections.abc import Sequence

import msgspec

from emulator import relay_row


class Point(msgspec.Struct, frozen=True, kw_only=True):
    """Median, minimum and maximum of the measurements at one size."""

    size: float = msgspec.field(name='at')
    median: float
    low: float
    high: float


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """Measurements and the line through their medians: base + each x size.

    `unit` is the unit of the cost, and `per` says what the size counts.
    """

    name: str
    unit: str
    per: str
    command: str
    base: float
    each: float
    points: tuple[Point, ...]
    condition: str = ''


class SlopeResults(msgspec.Struct, frozen=True, kw_only=True):
    """Slopes of one machine, and the results of the relay benchmark."""

    machine: str
    quick: bool
    slopes: tuple[Slope, ...]
    relay: tuple[relay_row.RelayRow, ...] | None = None

    def slope(self, name: str) -> Slope:
        """Return the slope with a name; raises KeyError."""
        return {slope.name: slope for slope in self.slopes}[name]


def point(size: float, measurements: Sequence[float]) -> Point:
    """Return the median, minimum and maximum of the measurements."""
    return Point(
        size=size,
        median=_round_figure(statistics.median(measurements)),
        low=_round_figure(min(measurements)),
        high=_round_figure(max(measurements)),
    )


def _round_figure(number: float) -> float:
    return float(f'{number:.5g}')
