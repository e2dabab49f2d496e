"""Measure the rounds of a pool's controller without HTTP."""

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
SETTLING_ROUNDS = 60
ROUND_S = 0.25
REPEATS = 5
QUICK_REPEATS = 2
MICROSECONDS = 1_000_000
STORE = weight_store_settings.WeightStoreSettings(
    loads_per_s=1, concurrent_loads=1, adapters_in_transit=1
)


def measure(*, quick: bool) -> Iterator[slope.Slope]:
    """Return the slope of a round in servers."""
    repeats = QUICK_REPEATS if quick else REPEATS
    yield slope_fit.fit(
        'control_round',
        [asyncio.run(_rounds(size, repeats)) for size in SERVERS],
        unit='us',
        per='server of the pool',
        command=COMMAND,
        condition='2 models a server, nothing changing, reports each 5 s of '
        'the rounds of 250 ms; without HTTP and without placing',
    )


async def _rounds(servers: int, repeats: int) -> slope.Point:
    ticker = clock.ManualClock()
    controller = _controller(servers, ticker)
    for _ in range(SETTLING_ROUNDS):
        ticker.advance(ROUND_S)
        await controller.round()
    seen = []
    for _ in range(repeats):
        start_s = time.process_time()
        for _ in range(ROUNDS):
            ticker.advance(ROUND_S)
            await controller.round()
        spent_s = time.process_time() - start_s
        seen.append(spent_s * MICROSECONDS / ROUNDS)
    return slope.point(servers, seen)


def _controller(
    servers: int,
    ticker: clock.Clock,
) -> pool_controller.PoolController:
    pool = slope_pool.SlopePool(servers)
    return pool_controller.PoolController(
        slope_pool.POOL,
        control_dependencies.ControlDependencies(
            this=member.Member(
                instance_id=ids.InstanceId('entry-1'),
                address='',
                failure_domain=slope_pool.DOMAIN,
                incarnation=1,
            ),
            lease=slope_pool.HeldLease(),
            store=memory_key_value.MemoryKeyValue(),
            policy=slope_pool.NoMoves(),
            metrics=metrics.NoMetrics(),
            listed_instances=lambda: pool.listed,
            engine_of=pool.engine_of,
            model_needs=lambda: pool.need_by_model,
            take_demand=lambda _: (),
            is_replica_idle=_is_idle,
            has_stopped=_has_stopped,
            publish=lambda _: None,
        ),
        control_settings.ControlSettings(),
        load_budget.LoadBudget(STORE, ticker),
        clock=ticker,
    )


async def _is_idle(
    server: ids.ServerId, model: ids.ModelName, version: int
) -> bool:
    return True


async def _has_stopped(
    former: superseded_controller.SupersededController,
) -> bool:
    return True
