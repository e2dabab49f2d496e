"""Benchmark claims: `python -m emulator.claims_benchmark`."""

import argparse
import asyncio
import sys

from emulator import (
    claims_faults,
    claims_fleet,
    claims_load,
    claims_memory,
)
from oatcrank.settings import claims_settings

FLEET_SIZE = 8
FAULT_CLAIMS_PER_S = 50
FAULT_AT_SHARE = 0.3
CLEAR_AT_SHARE = 0.7


async def measure(
    *,
    settings: claims_settings.ClaimsSettings,
    rate: float,
    seconds: float,
    fault: claims_faults.FaultSetter = claims_faults.no_fault,
) -> claims_load.ClaimsMeasurement:
    """Run a load with a fault in its middle part and measure it."""
    async with claims_fleet.ClaimsFleet(
        size=FLEET_SIZE,
        settings=settings,
    ) as fleet:
        fleet.store.delay_s = claims_faults.SERVICE_DELAY_S
        loop = asyncio.get_running_loop()
        loop.call_later(seconds * FAULT_AT_SHARE, fault, fleet)
        loop.call_later(
            seconds * CLEAR_AT_SHARE, claims_faults.clear_faults, fleet
        )
        return await claims_load.ClaimsLoad(fleet).run(
            rate=rate,
            seconds=seconds,
        )


def _print(name: str, measurement: claims_load.ClaimsMeasurement) -> None:
    share = measurement.answered / measurement.offered
    sys.stdout.write(
        f'| {name} | {measurement.offered} | {share:.2%} | '
        f'{measurement.did_not_run} | {measurement.may_have_run} | '
        f'{measurement.dispatched_twice} | {measurement.writes_per_s:.1f} | '
        f'{measurement.reads_per_s:.1f} | {measurement.median_ms:.1f} | '
        f'{measurement.tail_ms:.1f} | {measurement.cpu_ms:.2f} |\n',
    )
    sys.stdout.flush()


def main() -> None:
    """Print one table row for each load and each fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=10)
    defaults = claims_settings.ClaimsSettings()
    parser.add_argument('--shards', type=int, default=defaults.shards)
    parser.add_argument(
        '--batch-spacing-ms',
        type=int,
        default=defaults.batch_spacing_ms,
    )
    options = parser.parse_args()
    settings = claims_settings.ClaimsSettings(
        shards=options.shards,
        batch_spacing_ms=options.batch_spacing_ms,
    )
    runs: list[tuple[str, int, claims_faults.FaultSetter]] = [
        (f'{rate} claims/s', rate, claims_faults.no_fault)
        for rate in (5, 50, 500)
    ]
    runs.extend(
        (f'{FAULT_CLAIMS_PER_S} claims/s, {name}', FAULT_CLAIMS_PER_S, fault)
        for name, fault in claims_faults.FAULT_BY_NAME.items()
    )
    for name, rate, fault in runs:
        measuring = measure(
            settings=settings,
            rate=rate,
            seconds=options.seconds,
            fault=fault,
        )
        _print(name, asyncio.run(measuring))
    bytes_per_claim = claims_memory.bytes_per_claim()
    sys.stdout.write(f'bytes per stored claim: {bytes_per_claim:.0f}\n')


if __name__ == '__main__':
    main()
