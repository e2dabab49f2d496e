"""Measure what claims cost."""

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
    """Return the slopes of claims a second and of claims kept."""
    core, writes = [], []
    for rate in RATES:
        figures = asyncio.run(
            claims_benchmark.measure(
                settings=claims_settings.ClaimsSettings(),
                rate=rate,
                seconds=QUICK_SECONDS if quick else SECONDS,
            ),
        )
        core.append(slope.point(rate, [figures.core_ms * rate]))
        writes.append(slope.point(rate, [figures.writes]))
    yield slope_fit.fit(
        'claim_core',
        core,
        unit='core ms/s',
        per='claim/s',
        command=COMMAND,
        condition=CONDITION,
    )
    yield slope_fit.fit(
        'claim_writes',
        writes,
        unit='writes/s',
        per='claim/s',
        command=COMMAND,
        condition=CONDITION,
    )
    kept = round(claims_memory.bytes_per_claim(), 1)
    yield slope_fit.fit(
        'claim_bytes',
        [slope.point(1, [kept])],
        unit='B',
        per='claim kept',
        command=COMMAND,
    )
