"""Check that an accepted change takes effect on all instances for good."""

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
CHANGES_TOTAL = 3 * CHANGES_EACH
OPERATOR_TIMEOUT_S = 3
Fault = Callable[['World'], Awaitable[None]]


class World:
    """A site with its relays and the outcomes reported to operators."""

    def __init__(self, site: small_site.SmallSite) -> None:
        self.site = site
        self.relays: list[cut_relay.CutRelay] = []
        self.number_by_accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.settled = 0
        self.outages_met = 0
        self.content_by_revision: dict[int, Any] = {}

    async def operate(self, number: int) -> None:
        """Make changes, each based on the revision of one instance."""
        for index in range(CHANGES_EACH):
            based_on = await self._read_revision(number)
            wanted = small_site.new_profile(
                first_token_ms=1000 * (number + 1) + index
            )
            await self._submit_until_decided(number, wanted, based_on)
            self.settled += 1

    @contextlib.asynccontextmanager
    async def watched(self) -> AsyncIterator[None]:
        """Watch every instance; only a failed assertion ends a watch early."""
        watches = [
            asyncio.create_task(self.watch(number)) for number in range(3)
        ]
        try:
            yield
        finally:
            for watch in watches:
                watch.cancel()
            results = await asyncio.gather(*watches, return_exceptions=True)
        ends = {type(result) for result in results}
        assert ends == {asyncio.CancelledError}, results

    async def watch(self, number: int) -> None:
        """Check that the revision returned by an instance never decreases."""
        newest = 0
        entry = self.site.entries[number]
        while True:
            with contextlib.suppress(errors.PlatformError, rpc.RpcStatusError):
                state = await self._read(entry.address)
                if entry is not self.site.entries[number]:
                    entry = self.site.entries[number]
                    newest = 0
                    continue
                assert state.revision >= newest, 'the revision decreased'
                newest = state.revision
                content = self.content_by_revision.setdefault(
                    newest, state.content
                )
                assert state.content == content, 'one revision has two contents'
            await asyncio.sleep(0.01)

    async def check(self) -> None:
        """Compare the history of every instance with the reported outcomes."""
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
        numbers = [record.number for record in history]
        assert numbers == list(range(1, len(history) + 1))
        number_by_id = {record.change_id: record.number for record in history}
        assert len(number_by_id) == len(history)
        assert self.number_by_accepted.items() <= number_by_id.items()
        assert not self.refused & number_by_id.keys()
        for earlier, later in zip(history, history[1:], strict=False):
            assert later.before == earlier.after
            assert later.based_on == earlier.number

    async def _read_revision(self, number: int) -> ids.Revision:
        while True:
            for entry in self.site.entries[number:] + self.site.entries:
                with contextlib.suppress(
                    errors.PlatformError, rpc.RpcStatusError
                ):
                    return (await self._read(entry.address)).revision
            await asyncio.sleep(small_site.POLL_INTERVAL_S)

    async def _read(self, address: str) -> profile_state.ProfileState:
        text = await self.site.client.fetch(
            address, 'GET', PATH, None, timeout_s=OPERATOR_TIMEOUT_S
        )
        return msgspec.json.decode(text, type=profile_state.ProfileState)

    async def _submit_until_decided(
        self, number: int, wanted: Any, based_on: ids.Revision
    ) -> None:
        """Send a change to one instance after another until it is decided."""
        request = operator_messages.ChangeRequest(
            who=f'operator {number}',
            profile=wanted,
            based_on=based_on,
            change_id=ids.ChangeId(uuid.uuid4().hex),
        )
        body = msgspec.json.encode(request)
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
                    self.refused.add(request.change_id)
                    return
                self.outages_met += 1
                await asyncio.sleep(small_site.POLL_INTERVAL_S)
            except errors.PlatformError:
                # The instance is down or its reply was lost: resend.
                await asyncio.sleep(small_site.POLL_INTERVAL_S)
            else:
                accepted = msgspec.json.decode(text, type=change.Change)
                self.number_by_accepted[request.change_id] = accepted.number
                return


async def none(world: World) -> None:
    """Inject no fault."""


async def down(world: World) -> None:
    service = world.site.key_value
    for count in (0, 4, 8):
        await settled(world, count)
        outages_before = world.outages_met
        await world.site.fault(service, down=True)

        async def is_outage_met(outages_before: int = outages_before) -> bool:
            return (
                world.outages_met > outages_before
                or world.settled == CHANGES_TOTAL
            )

        await small_site.eventually(is_outage_met)
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

    async def has_received() -> bool:
        return (await world.site.status(2)).newest_change >= wanted

    await small_site.eventually(has_received)
    world.relays[2].restore()


async def settled(world: World, count: int) -> None:
    """Wait until count changes were accepted or refused."""
    async with asyncio.timeout(small_site.HANG_TIMEOUT_S):
        await poll.until(lambda: world.settled >= count)


CASES = [
    pytest.param(
        fault, id=fault.__name__, marks=pytest.mark.point(8, description)
    )
    for fault, description in (
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
            async with (
                world.watched(),
                asyncio.timeout(small_site.HANG_TIMEOUT_S),
            ):
                await asyncio.gather(
                    fault(world),
                    *(world.operate(number) for number in range(3)),
                )
                await world.check()

    asyncio.run(run())
