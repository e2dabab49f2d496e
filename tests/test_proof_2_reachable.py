"""Prove that every model answers and none is unloaded while it is in use."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests import small_site

Fault = Callable[[small_site.SmallSite], Awaitable[None]]
LONG_TOKENS = 100


async def no_fault(site: small_site.SmallSite) -> None:
    """Add no fault: only demand shifts."""


async def slow_loads(site: small_site.SmallSite) -> None:
    """Delay the answers of the weight store."""
    await site.fault(site.weight_store, hang_s=0.5)


async def killed(site: small_site.SmallSite) -> None:
    """Kill an engine while it runs a request, then restart it."""
    server_id, engine = next(iter(site.engine_by_id.items()))

    async def is_busy() -> bool:
        return any(run.finished is None for run in await site.runs(engine))

    await small_site.eventually(is_busy)
    await site.restart_engine(server_id)


async def lost_orders(site: small_site.SmallSite) -> None:
    for engine in site.engine_by_id.values():
        await site.fault(engine, drop_orders=2, lose_order_answers=1)


CASES = [
    pytest.param(fault, id=fault.__name__, marks=pytest.mark.point(2, words))
    for fault, words in (
        (no_fault, 'demand shifts between more models than fit'),
        (slow_loads, 'weight store slow and at its limit'),
        (killed, 'backend server killed at work'),
        (lost_orders, 'orders dropped, answers of orders lost'),
    )
]


async def shift(site: small_site.SmallSite, turns: int) -> None:
    """Request all models in bursts that shift from model to model."""
    for turn in range(turns):
        models = small_site.MODELS[turn:] + small_site.MODELS[:turn]
        bursts = [
            site.complete(model, tokens=tokens)
            for model in models
            for tokens in (4, LONG_TOKENS)
        ]
        await asyncio.gather(*bursts)


@pytest.mark.parametrize('fault', CASES)
def test_every_model_answers(fault: Fault) -> None:
    async def run() -> None:
        async with small_site.running() as site:
            await site.complete(small_site.MODELS[0])
            turns = 2 if fault is no_fault else 1
            await asyncio.gather(shift(site, turns), fault(site))
            for engine in site.engine_by_id.values():
                cut = [run for run in await site.runs(engine) if run.cancelled]
                assert not cut, 'a model was unloaded while it was at work'

    asyncio.run(run())
