"""Hold a measured slope: a cost that grows with a size."""

import statistics
from collections.abc import Sequence

import msgspec

from emulator import relay_row


class Point(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one measurement; low and high are its spread."""

    at: float
    median: float
    low: float
    high: float


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """Hold measurements and the line through them: base + each x size."""

    name: str
    unit: str
    per: str
    command: str
    base: float
    each: float
    points: tuple[Point, ...]
    condition: str = ''


class SlopeBook(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the slopes of one run, and the relay's figures if there are any."""

    machine: str
    quick: bool
    slopes: tuple[Slope, ...]
    relay: tuple[relay_row.RelayRow, ...] | None = None

    def of(self, name: str) -> Slope:
        """Return the slope of a name; raises KeyError."""
        return {slope.name: slope for slope in self.slopes}[name]


def point(at: float, seen: Sequence[float]) -> Point:
    """Return the median and the spread of what was seen at one size."""
    return Point(
        at=at,
        median=_rounded(statistics.median(seen)),
        low=_rounded(min(seen)),
        high=_rounded(max(seen)),
    )


def _rounded(number: float) -> float:
    return float(f'{number:.5g}')
