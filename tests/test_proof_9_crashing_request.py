"""Prove that only a request that crashes engines is refused for it."""

import asyncio
import pathlib

import proof_site
import pytest

from emulator import call_outcome, caller, poll
from oatcrank import refusal

LIMIT = 3
CRASHING_PROMPT = 'poison'
HARMLESS_CALLERS = 6
SUSPECTS = 'suspects/entry-1'
CRASHES = refusal.Code.crashes_backend_servers


class EngineRestarter:
    """Restart each crashed engine, as the platform does."""

    def __init__(self, site: proof_site.ProofSite) -> None:
        self.crashes = 0
        self._site = site

    async def keep_running(self, number: int) -> None:
        """Restart one engine each time the crashing prompt ends it."""
        site = self._site
        while True:
            await site.faults(site.engines[number], crash_on=CRASHING_PROMPT)
            await site.engines[number].wait()
            self.crashes += 1
            port = int(site.engines[number].address.split(':')[1])
            site.engines[number] = await site.engine(number, port)


async def send_harmless(
    site: proof_site.ProofSite,
    number: int,
    stopped: asyncio.Event,
    ends: list[call_outcome.CallOutcome],
) -> None:
    """Send requests in sequence, retrying each until it is answered."""
    sender = site.caller('talk')
    count = 0
    while not stopped.is_set():
        count += 1
        asked = proof_site.new_completion('m-one', f'i{number}n{count}')
        ended = None
        while ended is None or ended.outcome is not proof_site.ANSWERED:
            ended = await sender.complete(asked)
            ends.append(ended)
            assert not is_refused_for_crashes(ended), ended
            await asyncio.sleep(poll.POLL_INTERVAL_S)


def is_refused_for_crashes(ended: call_outcome.CallOutcome) -> bool:
    return ended.refused is not None and ended.refused.code is CRASHES


async def send_crashing_prompt(
    sender: caller.Caller,
    request_id: str,
) -> call_outcome.CallOutcome:
    return await sender.complete(
        proof_site.new_completion('m-one', request_id, prompt=CRASHING_PROMPT)
    )


async def resend_until_refused(site: proof_site.ProofSite) -> None:
    """Resend the prompt under new and old request ids until it is refused."""
    sender = site.caller('talk', site.addresses[0])
    for number in range(100):
        ended = await send_crashing_prompt(sender, f'p{number // 2}')
        assert ended.outcome is not proof_site.ANSWERED
        if is_refused_for_crashes(ended):
            return
        await asyncio.sleep(poll.POLL_INTERVAL_S)
    raise AssertionError('the prompt was never refused')


async def wait_for_propagation(site: proof_site.ProofSite) -> None:
    status = await site.status(site.addresses[0])
    newest = status.version_by_name[SUSPECTS]
    for address in site.addresses:
        version = 0
        while version < newest:
            status = await site.status(address)
            version = status.version_by_name.get(SUSPECTS, 0)


async def crash_beside_harmless(
    site: proof_site.ProofSite,
    restarter: EngineRestarter,
    ends: list[call_outcome.CallOutcome],
) -> int:
    """Return how many engines crashed before the prompt was refused."""
    stopped = asyncio.Event()
    async with asyncio.TaskGroup() as group:
        for number in range(HARMLESS_CALLERS):
            group.create_task(send_harmless(site, number, stopped, ends))
        await site.wait_for_first_run(*site.engines)
        await resend_until_refused(site)
        await wait_for_propagation(site)
        crashes = restarter.crashes
        assert 1 <= crashes <= LIMIT
        for number, address in enumerate(site.addresses):
            sender = site.caller('talk', address)
            ended = await send_crashing_prompt(sender, f'late{number}')
            assert is_refused_for_crashes(ended)
        stopped.set()
    return crashes


async def crashing(site: proof_site.ProofSite) -> None:
    restarter = EngineRestarter(site)
    ends: list[call_outcome.CallOutcome] = []
    numbers = range(len(site.engines))
    keepers = [
        asyncio.create_task(restarter.keep_running(number))
        for number in numbers
    ]
    try:
        crashes = await crash_beside_harmless(site, restarter, ends)
    finally:
        # Without this, engines that the teardown ends are started again.
        for keeper in keepers:
            keeper.cancel()
    assert restarter.crashes == crashes
    proof_site.print_outcomes(f'{crashes} engines crashed; the others', ends)
    assert {ended.outcome for ended in ends} <= {
        proof_site.ANSWERED,
        call_outcome.Outcome.refused,
        call_outcome.Outcome.interrupted,
    }


@pytest.mark.point(9, 'a request that crashes each engine that runs it')
def test_crashing_request(tmp_path: pathlib.Path) -> None:
    proof_site.run(tmp_path, crashing)
