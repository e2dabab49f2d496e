"""Test that only the request that crashes engines is refused for it.

Innocent requests run beside it and are interrupted by its crashes, at all
instances.  Each instance retries them on servers that other instances use, too.
"""

import asyncio

import pytest
import suspects_site

INNOCENT_CALLERS = 6


@pytest.mark.parametrize('seed', range(40))
def test_innocent_requests_beside_a_crashing_one(seed):
    async def scenario(site):
        callers = [
            asyncio.ensure_future(
                site.call_again_and_again(1000 * (number + 1))
            )
            for number in range(INNOCENT_CALLERS)
        ]
        await asyncio.sleep(1 + site.rng.random())
        await site.call_until_refused(0, suspects_site.CRASHING)
        await asyncio.sleep(3)
        for caller in callers:
            caller.cancel()

    site = suspects_site.run(scenario, seed)
    assert set(site.refused) == {suspects_site.CRASHING}
    assert site.crashes <= suspects_site.LIMIT
