"""Draw a line through measurements."""

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

    A line that would start below nothing is taken as proportional from the
    largest size; one that falls is taken as flat at its highest.
    """
    largest = max(points, key=lambda one: one.at)
    base: float = 0
    each = largest.median / largest.at if largest.at else largest.median
    if len(points) > 1:
        line = statistics.linear_regression(
            [one.at for one in points],
            [one.median for one in points],
        )
        if line.slope < 0:
            base, each = max(one.median for one in points), 0
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
