"""Check who holds a lease, whatever the service loses."""

import asyncio
import contextlib

import pytest

from oatcrank import clock, errors, ids
from oatcrank.control import lease
from tests import configuration_parts as parts

TERM_S = 10.0
WATCH_S = TERM_S + 1


class Site:
    """Hold two instances that want one lease, each with its own clock."""

    def __init__(self) -> None:
        self.store = parts.LateKeyValue()
        self.clocks = [clock.ManualClock(), clock.ManualClock(5000)]
        self.leases = [
            lease.Lease(
                self.store,
                'lease',
                holder=ids.InstanceId(f'e{index}'),
                incarnation=1,
                term_s=TERM_S,
                clock=time,
            )
            for index, time in enumerate(self.clocks)
        ]

    def pass_time(self, seconds: float) -> None:
        for time in self.clocks:
            time.advance(seconds)

    async def attempt(self, *turns: int) -> None:
        for turn in turns:
            with contextlib.suppress(errors.PlatformError):
                await self.leases[turn].acquire_or_renew()

    def held(self) -> list[int | None]:
        return [contender.held_fence() for contender in self.leases]


async def renewed(site: Site) -> None:
    for _ in range(5):
        site.pass_time(TERM_S / 2)
        await site.attempt(0, 1)
    assert site.held() == [1, None]


async def lapses(site: Site) -> None:
    await site.attempt(1)
    site.pass_time(WATCH_S)
    assert site.held() == [None, None]
    await site.attempt(1)
    assert site.held() == [None, 2]
    await site.attempt(0)
    assert site.held() == [None, 2]


async def belief_ends_before_takeover(site: Site) -> None:
    await site.attempt(1)
    site.pass_time(TERM_S * 0.9)
    await site.attempt(1)
    assert site.held() == [None, None]


async def released(site: Site) -> None:
    await site.leases[0].release()
    await site.attempt(1, 0)
    assert site.held() == [None, 2]


async def answer_lost(site: Site) -> None:
    site.pass_time(TERM_S / 2)
    site.store.lose_answers = 1
    await site.attempt(0)
    site.pass_time(TERM_S / 2)
    assert site.held() == [1, None]


async def unread_renewal_counts_from_its_sending(site: Site) -> None:
    site.store.late = True
    await site.attempt(0)
    await site.store.land()
    site.pass_time(TERM_S * 0.7)
    # The record is found as written; it may be as old as its sending.
    await site.attempt(0)
    site.pass_time(TERM_S * 0.2)
    assert site.held() == [None, None]


async def late_takeover_is_fenced(site: Site) -> None:
    await site.attempt(1)
    site.pass_time(WATCH_S)
    site.store.late = True
    await site.attempt(1)
    site.store.late = False
    await site.attempt(0)
    await site.store.land()
    await site.attempt(1)
    assert site.held() == [1, None]


async def stale_look(site: Site) -> None:
    await site.attempt(1)
    site.pass_time(TERM_S / 2)
    await site.attempt(0)
    site.store.stale_reads = True
    site.pass_time(TERM_S * 0.6)
    await site.attempt(1)
    assert site.held() == [1, None]


@pytest.mark.parametrize(
    'act',
    [
        renewed,
        lapses,
        belief_ends_before_takeover,
        released,
        answer_lost,
        unread_renewal_counts_from_its_sending,
        late_takeover_is_fenced,
        stale_look,
    ],
)
def test_lease(act: parts.Callable) -> None:
    async def run() -> None:
        site = Site()
        await site.attempt(0)
        assert site.held() == [1, None]
        await act(site)

    asyncio.run(run())
