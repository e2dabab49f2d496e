"""Measure the cost of claims."""

import asyncio
from collections.abc import Iterator

from emulator import claims_benchmark, claims_memory, slope, slope_fit
from oatcrank.settings import claims_settings

COMMAND = 'python -m emulator slopes --only claims'
RATES = (50, 200, 400)
SECONDS = 5
QUICK_SECONDS = 2
CONDITION = '8 instances, the service and the load in one process, 4 shards'


def measure(*, quick: bool) -> Iterator[slope.Slope]:
    """Return the slopes of the claim rate and of the claims kept."""
    core_points, write_points = [], []
    for rate in RATES:
        figures = asyncio.run(
            claims_benchmark.measure(
                settings=claims_settings.ClaimsSettings(),
                rate=rate,
                seconds=QUICK_SECONDS if quick else SECONDS,
            ),
        )
        core_points.append(slope.point(rate, [figures.cpu_ms * rate]))
        write_points.append(slope.point(rate, [figures.writes_per_s]))
    yield slope_fit.fit(
        'claim_core',
        core_points,
        unit='core ms/s',
        per='claim/s',
        command=COMMAND,
        condition=CONDITION,
    )
    yield slope_fit.fit(
        'claim_writes',
        write_points,
        unit='writes/s',
        per='claim/s',
        command=COMMAND,
        condition=CONDITION,
    )
    bytes_per_claim = round(claims_memory.bytes_per_claim(), 1)
    yield slope_fit.fit(
        'claim_bytes',
        [slope.point(1, [bytes_per_claim])],
        unit='B',
        per='claim kept',
        command=COMMAND,
    )
