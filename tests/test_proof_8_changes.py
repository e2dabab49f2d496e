"""Prove that an accepted change is in force everywhere and stays so."""

import asyncio
import contextlib
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable
from http import HTTPStatus
from typing import Any

import msgspec
import pytest

from emulator import cut_relay, poll
from oatcrank import errors, ids, rpc
from oatcrank.configuration import change, operator_messages, profile_state
from tests import small_site

PATH = '/v1/profiles/drafts'
CHANGES_EACH = 4
ALL = 3 * CHANGES_EACH
OPERATOR_TIMEOUT_S = 3
Fault = Callable[['World'], Awaitable[None]]


class World:
    """Hold a site, its relays, and what operators were told."""

    def __init__(self, site: small_site.SmallSite) -> None:
        self.site = site
        self.relays: list[cut_relay.CutRelay] = []
        self.number_by_accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.settled = 0
        self.outages_met = 0
        self.content_by_revision: dict[int, Any] = {}

    async def operate(self, number: int) -> None:
        """Make changes, each based on what one instance shows."""
        for turn in range(CHANGES_EACH):
            based_on = await self._look(number)
            wanted = small_site.new_profile(
                first_token_ms=1000 * (number + 1) + turn
            )
            await self._settle(number, wanted, based_on)
            self.settled += 1

    @contextlib.asynccontextmanager
    async def watched(self) -> AsyncIterator[None]:
        """Watch every instance; a watch only ends by what it finds."""
        watches = [asyncio.create_task(self.watch(one)) for one in range(3)]
        try:
            yield
        finally:
            for watch in watches:
                watch.cancel()
            ended = await asyncio.gather(*watches, return_exceptions=True)
        assert {type(one) for one in ended} == {asyncio.CancelledError}, ended

    async def watch(self, number: int) -> None:
        """See that the revision shown by an instance only rises."""
        newest = 0
        entry = self.site.entries[number]
        while True:
            with contextlib.suppress(errors.PlatformError, rpc.RpcStatusError):
                state = await self._read(entry.address)
                if entry is not self.site.entries[number]:
                    entry = self.site.entries[number]
                    newest = 0
                    continue
                assert state.revision >= newest, 'the instance went back'
                newest = state.revision
                known = self.content_by_revision.setdefault(
                    newest, state.content
                )
                assert state.content == known, 'two contents, one revision'
            await asyncio.sleep(0.01)

    async def check(self) -> None:
        """Compare the whole history of every instance with what was told."""
        wanted = max(self.number_by_accepted.values())
        audits = []
        for number, entry in enumerate(self.site.entries):

            async def has_all(number: int = number) -> bool:
                status = await self.site.status(number)
                return status.newest_change >= wanted

            await small_site.eventually(has_all)
            page = await self.site.ask(
                entry.address,
                'GET',
                '/v1/audit',
                answer_type=operator_messages.ChangeList,
            )
            audits.append(page.changes)
            state = await self._read(entry.address)
            assert state.content == page.changes[-1].after
            assert state.revision == page.changes[-1].number
        assert audits[0] == audits[1] == audits[2]
        self._check_history(audits[0])

    def _check_history(self, history: tuple[change.Change, ...]) -> None:
        numbers = [found.number for found in history]
        assert numbers == list(range(1, len(history) + 1))
        number_by_id = {found.change_id: found.number for found in history}
        assert len(number_by_id) == len(history)
        assert self.number_by_accepted.items() <= number_by_id.items()
        assert not self.refused & number_by_id.keys()
        for earlier, later in zip(history, history[1:], strict=False):
            assert later.before == earlier.after
            assert later.based_on == earlier.number

    async def _look(self, number: int) -> ids.Revision:
        while True:
            for entry in self.site.entries[number:] + self.site.entries:
                with contextlib.suppress(
                    errors.PlatformError, rpc.RpcStatusError
                ):
                    return (await self._read(entry.address)).revision
            await asyncio.sleep(small_site.POLL_S)

    async def _read(self, address: str) -> profile_state.ProfileState:
        text = await self.site.client.fetch(
            address, 'GET', PATH, None, timeout_s=OPERATOR_TIMEOUT_S
        )
        return msgspec.json.decode(text, type=profile_state.ProfileState)

    async def _settle(
        self, number: int, wanted: Any, based_on: ids.Revision
    ) -> None:
        """Send a change, from instance to instance, until it is decided."""
        asked = operator_messages.ChangeRequest(
            who=f'operator {number}',
            profile=wanted,
            based_on=based_on,
            change_id=ids.ChangeId(uuid.uuid4().hex),
        )
        body = msgspec.json.encode(asked)
        while True:
            address = self.site.entries[number].address
            number = (number + 1) % len(self.site.entries)
            try:
                text = await self.site.client.fetch(
                    address, 'PUT', PATH, body, timeout_s=OPERATOR_TIMEOUT_S
                )
            except rpc.RpcStatusError as refused:
                assert refused.status != HTTPStatus.BAD_REQUEST, refused
                if refused.status == HTTPStatus.CONFLICT:
                    self.refused.add(asked.change_id)
                    return
                self.outages_met += 1
                await asyncio.sleep(small_site.POLL_S)
            except errors.PlatformError:
                # The instance is gone or its answer was lost: resend.
                await asyncio.sleep(small_site.POLL_S)
            else:
                made = msgspec.json.decode(text, type=change.Change)
                self.number_by_accepted[asked.change_id] = made.number
                return


async def none(world: World) -> None:
    """Switch no fault on."""


async def down(world: World) -> None:
    service = world.site.key_value
    for so_many in (0, 4, 8):
        await settled(world, so_many)
        before = world.outages_met
        await world.site.fault(service, down=True)

        async def is_met(before: int = before) -> bool:
            return world.outages_met > before or world.settled == ALL

        await small_site.eventually(is_met)
        await world.site.fault(service, down=False)


async def lost(world: World) -> None:
    await world.site.fault(
        world.site.key_value, lose_answers=6, lose_requests=3
    )


async def stale(world: World) -> None:
    await world.site.fault(world.site.key_value, stale_reads=True)
    await settled(world, 6)
    await world.site.fault(world.site.key_value, stale_reads=False)


async def frozen(world: World) -> None:
    entry = world.site.entries[1]
    entry.pause()
    await settled(world, 4)
    entry.resume()


async def replaced(world: World) -> None:
    await settled(world, 2)
    await world.site.restart_entry(1)


async def cut_off(world: World) -> None:
    world.relays[2].cut()
    await settled(world, 6)
    assert world.number_by_accepted
    wanted = max(world.number_by_accepted.values())

    async def has_heard() -> bool:
        return (await world.site.status(2)).newest_change >= wanted

    await small_site.eventually(has_heard)
    world.relays[2].join()


async def settled(world: World, count: int) -> None:
    """Await that so many changes were accepted or refused."""
    async with asyncio.timeout(small_site.HANG_S):
        await poll.until(lambda: world.settled >= count)


CASES = [
    pytest.param(fault, id=fault.__name__, marks=pytest.mark.point(8, words))
    for fault, words in (
        (none, 'operators race'),
        (down, 'service down during the changes'),
        (lost, 'requests and answers of the service lost'),
        (stale, 'stale reads'),
        (frozen, 'instance frozen through changes'),
        (replaced, 'instance replaced with nothing kept'),
        (cut_off, 'instance cut off from the service, not from its peers'),
    )
]


@pytest.mark.parametrize('fault', CASES)
def test_racing_operators(fault: Fault) -> None:
    async def run() -> None:
        async with small_site.running(is_relayed=True, pools=()) as site:
            world = World(site)
            world.relays = site.relays
            async with world.watched(), asyncio.timeout(small_site.HANG_S):
                await asyncio.gather(
                    fault(world), *(world.operate(one) for one in range(3))
                )
                await world.check()

    asyncio.run(run())
