"""Test that readers share one instance list, but not a failed read."""

import asyncio

import pytest

from oatcrank import clock, errors
from oatcrank.membership import instance_list, shared_instance_list


class Listing(instance_list.InstanceList):
    def __init__(self) -> None:
        self.reads = 0
        self.down = False

    async def read(self) -> tuple[instance_list.Instance, ...]:
        self.reads += 1
        if self.down:
            raise errors.Unavailable('down')
        return ()


@pytest.mark.parametrize(
    ('pauses_s', 'reads'),
    [((0, 0.4, 0.4), 1), ((0, 0.9, 0.4), 2), ((1, 1, 1), 3)],
)
def test_reads(pauses_s: tuple[float, ...], reads: int) -> None:
    listing = Listing()
    manual_clock = clock.ManualClock()
    shared = shared_instance_list.SharedInstanceList(
        listing, manual_clock, max_age_s=0.9
    )

    async def run() -> None:
        for pause_s in pauses_s:
            manual_clock.advance(pause_s)
            await asyncio.gather(shared.read(), shared.read())

    asyncio.run(run())
    assert listing.reads == reads


def test_failed_read_is_not_cached() -> None:
    listing = Listing()
    shared = shared_instance_list.SharedInstanceList(
        listing, clock.ManualClock(), max_age_s=1
    )
    listing.down = True
    with pytest.raises(errors.Unavailable):
        asyncio.run(shared.read())
    listing.down = False
    asyncio.run(shared.read())
    assert listing.reads == 2
