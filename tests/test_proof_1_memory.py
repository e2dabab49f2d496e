"""Check that the memory of engines is never overcommitted."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests import small_site

ATTEMPT_TIMEOUT_S = 8
Fault = Callable[[small_site.SmallSite], Awaitable[None]]


async def all_engines(site: small_site.SmallSite, **faults: object) -> None:
    for engine in site.engine_by_id.values():
        await site.fault(engine, **faults)


async def dropped(site: small_site.SmallSite) -> None:
    await all_engines(site, drop_orders=2, lose_order_answers=2)


async def delayed(site: small_site.SmallSite) -> None:
    """Deliver duplicate loads after the unloads that follow them."""
    first = (small_site.MODELS[0], small_site.MODELS[2])
    others = tuple(set(small_site.MODELS) - set(first))
    await all_engines(site, delay_orders_s=1.5, double_orders=True)
    completions = asyncio.create_task(site.complete_all(*first))

    async def is_memory_used() -> bool:
        return await site.used_mb() > 0

    await small_site.eventually(is_memory_used)
    await all_engines(site, delay_orders_s=0, double_orders=False)
    await site.change(small_site.new_profile(models=others))
    await site.complete_all(*others)
    await site.change(small_site.new_profile())
    await completions


async def killed(site: small_site.SmallSite) -> None:
    await all_engines(site, delay_orders_s=0.5)
    controller_index = await site.controller()
    await site.entries[controller_index].kill()
    await site.controller()
    await site.restart_entry(controller_index)


async def frozen(site: small_site.SmallSite) -> None:
    await all_engines(site, hang_s=0.5, delay_orders_s=0.5)
    controller_index = await site.controller()
    frozen_entry = site.entries.pop(controller_index)
    frozen_entry.pause()
    await site.controller()
    await site.complete_all(*small_site.MODELS[2:4])
    frozen_entry.resume()
    site.entries.append(frozen_entry)


async def emptied(site: small_site.SmallSite) -> None:
    await all_engines(site, delay_orders_s=0.5)
    for server_id in tuple(site.engine_by_id):
        await site.restart_engine(server_id)


async def changed(site: small_site.SmallSite) -> None:
    await site.change(small_site.new_profile(adapters=10))
    await site.complete_all(adapters=10)
    await site.change(small_site.new_profile())


CASES = [
    pytest.param(
        fault,
        checks_fencing,
        id=f'{fault.__name__}-{"checks" if checks_fencing else "ignores"}',
        marks=pytest.mark.point(1, f'{description}, fencing {checks_fencing}'),
    )
    for fault, checks_fencing, description in (
        (dropped, True, 'orders dropped, answers of orders lost'),
        (delayed, True, 'orders delayed and doubled'),
        (delayed, False, 'orders delayed and doubled'),
        (killed, False, 'controller killed'),
        (frozen, True, 'controller frozen past its lease and woken'),
        (frozen, False, 'controller frozen past its lease and woken'),
        (emptied, False, 'engines restarted empty'),
        (changed, False, 'profiles changed: adapters added and removed'),
    )
]


@pytest.mark.parametrize(('fault', 'checks_fencing'), CASES)
def test_memory_is_not_exceeded(fault: Fault, checks_fencing: bool) -> None:
    async def run() -> None:
        async with small_site.running(checks_fencing=checks_fencing) as site:
            site.attempt_timeout_s = ATTEMPT_TIMEOUT_S
            if fault is not delayed:
                await site.complete_all(*small_site.MODELS[:2])
            load = () if fault is delayed else (site.complete_all(),)
            await asyncio.gather(fault(site), *load)
            await site.complete_all()
            assert await site.excess() == []

    asyncio.run(run())
