"""Measure the cost of a controller's rounds without HTTP."""

import asyncio
import time
from collections.abc import Iterator

from emulator import (
    memory_key_value,
    slope,
    slope_fit,
    slope_pool,
)
from oatcrank import clock, ids, metrics
from oatcrank.control import (
    control_dependencies,
    load_budget,
    pool_controller,
    superseded_controller,
)
from oatcrank.membership import member
from oatcrank.settings import control_settings, weight_store_settings

COMMAND = 'python -m emulator slopes --only controller'
SERVERS = (8, 30, 100, 300)
ROUNDS = 40
WARMUP_ROUNDS = 60
ROUND_S = 0.25
REPEATS = 5
QUICK_REPEATS = 2
US_PER_S = 1_000_000
STORE = weight_store_settings.WeightStoreSettings(
    loads_per_s=1, concurrent_loads=1, adapters_in_transit=1
)


def measure(*, quick: bool) -> Iterator[slope.Slope]:
    """Return the slope of a round by the number of servers."""
    repeats = QUICK_REPEATS if quick else REPEATS
    yield slope_fit.fit(
        'control_round',
        [asyncio.run(_measure_rounds(size, repeats)) for size in SERVERS],
        unit='us',
        per='server of the pool',
        command=COMMAND,
        condition='2 models a server, nothing changing, reports each 5 s of '
        'the rounds of 250 ms; without HTTP and without placing',
    )


async def _measure_rounds(servers: int, repeats: int) -> slope.Point:
    manual_clock = clock.ManualClock()
    controller = _controller(servers, manual_clock)
    for _ in range(WARMUP_ROUNDS):
        manual_clock.advance(ROUND_S)
        await controller.round()
    measurements_us = []
    for _ in range(repeats):
        start_s = time.process_time()
        for _ in range(ROUNDS):
            manual_clock.advance(ROUND_S)
            await controller.round()
        spent_s = time.process_time() - start_s
        measurements_us.append(spent_s * US_PER_S / ROUNDS)
    return slope.point(servers, measurements_us)


def _controller(
    servers: int,
    clock: clock.Clock,
) -> pool_controller.PoolController:
    pool = slope_pool.SlopePool(servers)
    return pool_controller.PoolController(
        slope_pool.POOL,
        control_dependencies.ControlDependencies(
            own=member.Member(
                instance_id=ids.InstanceId('entry-1'),
                address='',
                failure_domain=slope_pool.DOMAIN,
                incarnation=1,
            ),
            lease=slope_pool.HeldLease(),
            store=memory_key_value.MemoryKeyValue(),
            policy=slope_pool.NoMoves(),
            metrics=metrics.NoMetrics(),
            listed_instances=lambda: pool.instances,
            engine_of=pool.engine_of,
            model_needs=lambda: pool.need_by_model,
            take_demand=lambda _: (),
            is_replica_idle=_is_idle,
            has_stopped=_has_stopped,
            publish=lambda _: None,
        ),
        control_settings.ControlSettings(),
        load_budget.LoadBudget(STORE, clock),
        clock=clock,
    )


async def _is_idle(
    server: ids.ServerId, model: ids.ModelName, version: int
) -> bool:
    return True


async def _has_stopped(
    superseded: superseded_controller.SupersededController,
) -> bool:
    return True
