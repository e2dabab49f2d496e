"""Prove that a leaving backend server gets no new requests."""

import asyncio
import time

import pytest

from oatcrank.membership import instance_list
from tests import small_site

LONG_TOKENS = 240
MODEL = small_site.MODELS[0]


async def holder(site: small_site.SmallSite) -> str:
    """Return the engine that ran the model's first request."""
    await site.complete(MODEL)
    for server_id, engine in site.engine_by_id.items():
        if await site.runs(engine):
            return server_id
    raise AssertionError('no engine ran the request')


async def avoids(site: small_site.SmallSite, server_id: str) -> bool:
    """Return whether no entry instance has a usable replica on a server."""
    for status in [await site.status(number) for number in range(3)]:
        plans = status.sections['plans']
        for replica in plans[0]['replicas']:
            is_used = replica['state'] in {'loaded', 'loading'}
            if replica['server'] == server_id and is_used:
                return False
    return True


async def leave(*, listed: bool) -> None:
    async with small_site.running() as site:
        server_id = await holder(site)
        engine = site.engine_by_id[server_id]
        long = [
            asyncio.create_task(site.complete(MODEL, tokens=LONG_TOKENS))
            for _ in range(3)
        ]

        async def has_begun() -> bool:
            return len(await site.runs(engine)) == 4

        await small_site.eventually(has_begun)
        left = time.time()
        if listed:
            await site.set_listed_state(server_id, instance_list.State.leaving)
        else:
            await site.fault(engine, leaving=True)
        await small_site.eventually(lambda: avoids(site, server_id))
        await asyncio.gather(*(site.complete(MODEL) for _ in range(9)))
        runs = await site.runs(engine)
        assert len(runs) == 4, 'new work reached the leaving engine'
        await asyncio.gather(*long)
        runs = await site.runs(engine)
        assert {run.tokens for run in runs[1:]} == {LONG_TOKENS}
        assert all(run.finished > left for run in runs[1:])
        assert not any(run.cancelled for run in runs)


@pytest.mark.point(6, 'the lagging list says that an engine leaves')
def test_listed_as_leaving() -> None:
    asyncio.run(leave(listed=True))


@pytest.mark.point(6, 'only the engine itself says that it leaves')
def test_unlisted_leaving() -> None:
    asyncio.run(leave(listed=False))
