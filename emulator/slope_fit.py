"""Fit a line to measurements."""

import statistics
from collections.abc import Sequence

from emulator import slope


def fit(
    name: str,
    points: Sequence[slope.Point],
    *,
    unit: str,
    per: str,
    command: str,
    condition: str = '',
) -> slope.Slope:
    """Return the least-squares line through the medians.

    A line with a negative intercept is replaced by the one through the origin
    and the largest size, a falling line by a constant at the highest median.
    """
    largest = max(points, key=lambda measured: measured.size)
    base: float = 0
    each = largest.median / largest.size if largest.size else largest.median
    if len(points) > 1:
        line = statistics.linear_regression(
            [measured.size for measured in points],
            [measured.median for measured in points],
        )
        if line.slope < 0:
            base, each = max(measured.median for measured in points), 0
        elif line.intercept >= 0:
            base, each = line.intercept, line.slope
    return slope.Slope(
        name=name,
        unit=unit,
        per=per,
        command=command,
        base=float(f'{base:.4g}'),
        each=float(f'{each:.4g}'),
        points=tuple(points),
        condition=condition,
    )
