"""Check who holds a lease when writes, replies and reads fail."""

import asyncio
import contextlib

import pytest

from oatcrank import clock, errors, ids
from oatcrank.control import lease
from tests import configuration_parts as parts

TERM_S = 10.0
TAKEOVER_S = TERM_S + 1


class Contenders:
    """Two instances with separate clocks that contend for one lease."""

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

    async def attempt(self, *indexes: int) -> None:
        for index in indexes:
            with contextlib.suppress(errors.PlatformError):
                await self.leases[index].acquire_or_renew()

    def held(self) -> list[int | None]:
        return [contender.held_fence() for contender in self.leases]


async def renewed(contenders: Contenders) -> None:
    for _ in range(5):
        contenders.pass_time(TERM_S / 2)
        await contenders.attempt(0, 1)
    assert contenders.held() == [1, None]


async def expired(contenders: Contenders) -> None:
    await contenders.attempt(1)
    contenders.pass_time(TAKEOVER_S)
    assert contenders.held() == [None, None]
    await contenders.attempt(1)
    assert contenders.held() == [None, 2]
    await contenders.attempt(0)
    assert contenders.held() == [None, 2]


async def held_time_ends_before_takeover(contenders: Contenders) -> None:
    await contenders.attempt(1)
    contenders.pass_time(TERM_S * 0.9)
    await contenders.attempt(1)
    assert contenders.held() == [None, None]


async def released(contenders: Contenders) -> None:
    await contenders.leases[0].release()
    await contenders.attempt(1, 0)
    assert contenders.held() == [None, 2]


async def answer_lost(contenders: Contenders) -> None:
    contenders.pass_time(TERM_S / 2)
    contenders.store.lose_answers = 1
    await contenders.attempt(0)
    contenders.pass_time(TERM_S / 2)
    assert contenders.held() == [1, None]


async def resolved_renewal_counts_from_its_send(contenders: Contenders) -> None:
    contenders.store.late = True
    await contenders.attempt(0)
    await contenders.store.deliver_writes()
    contenders.pass_time(TERM_S * 0.7)
    # The record that is read back may be as old as its first send.
    await contenders.attempt(0)
    contenders.pass_time(TERM_S * 0.2)
    assert contenders.held() == [None, None]


async def late_takeover_is_fenced(contenders: Contenders) -> None:
    await contenders.attempt(1)
    contenders.pass_time(TAKEOVER_S)
    contenders.store.late = True
    await contenders.attempt(1)
    contenders.store.late = False
    await contenders.attempt(0)
    await contenders.store.deliver_writes()
    await contenders.attempt(1)
    assert contenders.held() == [1, None]


async def stale_read(contenders: Contenders) -> None:
    await contenders.attempt(1)
    contenders.pass_time(TERM_S / 2)
    await contenders.attempt(0)
    contenders.store.stale_reads = True
    contenders.pass_time(TERM_S * 0.6)
    await contenders.attempt(1)
    assert contenders.held() == [1, None]


@pytest.mark.parametrize(
    'case',
    [
        renewed,
        expired,
        held_time_ends_before_takeover,
        released,
        answer_lost,
        resolved_renewal_counts_from_its_send,
        late_takeover_is_fenced,
        stale_read,
    ],
)
def test_lease(case: parts.Callable) -> None:
    async def run() -> None:
        contenders = Contenders()
        await contenders.attempt(0)
        assert contenders.held() == [1, None]
        await case(contenders)

    asyncio.run(run())
