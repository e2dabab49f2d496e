"""Prove that at-most-once requests run at most once."""

import asyncio
import collections
import pathlib
from collections.abc import Awaitable, Callable

import proof_site
import pytest

from emulator import call_outcome, caller
from oatcrank import refusal

KEYS = 30
POISON = 'key7'
TRIES = 8
PATIENCE_S = 0.25
LONG_S = 0.5
SLOW_S = 0.08
RETRY_S = 0.3
Fault = Callable[[proof_site.ProofSite], Awaitable[None]]
Ended = call_outcome.CallOutcome


class Payer:
    """Send calls with a key and resend them after a short timeout."""

    def __init__(self, site: proof_site.ProofSite) -> None:
        self.site = site
        self.callers = [site.caller('once', one) for one in site.addresses]

    async def send(self, key: str, number: int, suffix: str) -> Ended | None:
        """Return the outcome, or None if the caller timed out."""
        call = self.callers[number % len(self.callers)].call_service(
            proof_site.SERVICE,
            'pay',
            key.encode(),
            key=key,
            request_id=f'{key}-{suffix}',
        )
        try:
            async with asyncio.timeout(PATIENCE_S):
                return await call
        except TimeoutError:
            return None

    async def pay(self, number: int) -> Ended | None:
        """Resend to each instance in turn until the outcome is final."""
        key = f'key{number}'
        ended = None
        for attempt in range(TRIES):
            ended = await self.send(key, number + attempt, str(attempt))
            if ended is not None and _is_final(ended):
                return ended
            await asyncio.sleep(RETRY_S if ended else 0)
        return ended

    async def pay_all(self) -> list[Ended | None]:
        return await asyncio.gather(*map(self.pay, range(KEYS)))

    async def check(self, title: str, ends: list[Ended | None]) -> None:
        """Check that nothing ran twice and that resends get the same answer."""
        site = self.site
        kept = [one for one in ends if one is not None]
        done = sum(one.outcome is proof_site.ANSWERED for one in kept)
        proof_site.tell(f'{title}, {done} of {len(ends)} answered', kept)
        ran = await site.ledger(*site.services)
        runs = collections.Counter(entry.key for entry in ran)
        assert max(runs.values(), default=0) <= 1, runs
        for number, ended in enumerate(ends):
            if ended is not None and ended.outcome is proof_site.ANSWERED:
                await self.check_again(number, ended.text)

    async def check_again(self, number: int, text: str) -> None:
        for sender in self.callers:
            again = await self.again(f'key{number}', sender)
            assert again.text == text, again

    async def again(self, key: str, sender: caller.Caller) -> Ended:
        """Resend without a timeout until the outcome is final."""
        again = None
        while again is None or not _is_final(again):
            again = await sender.call_service(
                proof_site.SERVICE, 'pay', key.encode(), key=key
            )
        return again


def _is_final(ended: Ended) -> bool:
    if ended.outcome is proof_site.ANSWERED:
        return True
    if ended.refused is None:
        return False
    return ended.refused.run_state is not refusal.RunState.did_not_run


async def hang(site: proof_site.ProofSite, seconds: float) -> None:
    for service in site.services:
        await site.faults(service, hang_s=seconds)


async def key_value(site: proof_site.ProofSite, **faults: object) -> None:
    await site.faults(site.key_value, **faults)


async def impatient(site: proof_site.ProofSite) -> None:
    await hang(site, LONG_S)


async def answers_cut(site: proof_site.ProofSite) -> None:
    for service in site.services:
        await site.faults(service, cut_after=5)


async def calls_cut(site: proof_site.ProofSite) -> None:
    for service in site.services:
        await site.faults(service, cut_before=5)


async def slow_key_value(site: proof_site.ProofSite) -> None:
    await key_value(site, hang_s=SLOW_S)


async def lost_answers(site: proof_site.ProofSite) -> None:
    await key_value(site, lose_answers=20)


async def lost_requests(site: proof_site.ProofSite) -> None:
    await key_value(site, lose_requests=20)


async def nothing(site: proof_site.ProofSite) -> None:
    """Add no fault."""


async def heal(site: proof_site.ProofSite) -> None:
    await hang(site, 0)
    await key_value(site, down=False, hang_s=0, lose_answers=0, lose_requests=0)


@pytest.mark.parametrize(
    'fault',
    [
        pytest.param(one, marks=pytest.mark.point(5, title), id=title)
        for one, title in (
            (nothing, 'no fault'),
            (impatient, 'callers time out and resend elsewhere'),
            (answers_cut, 'a plain service cuts its answers after the run'),
            (calls_cut, 'a plain service cuts calls before the run'),
            (slow_key_value, 'the key-value service is slow'),
            (lost_answers, 'answers of the key-value service are lost'),
            (lost_requests, 'writes to the key-value service are lost'),
        )
    ],
)
def test_resent(
    fault: Fault, tmp_path: pathlib.Path, request: pytest.FixtureRequest
) -> None:
    async def scenario(site: proof_site.ProofSite) -> None:
        payer = Payer(site)
        await fault(site)
        ends = await payer.pay_all()
        await heal(site)
        await payer.check(request.node.callspec.id, ends)

    proof_site.run(tmp_path, scenario)


async def at_the_same_moment(site: proof_site.ProofSite) -> None:
    payer = Payer(site)
    ends = await asyncio.gather(
        *(
            payer.callers[one % 3].call_service(
                proof_site.SERVICE, 'pay', key.encode(), key=key
            )
            for key in map('key{}'.format, range(KEYS))
            for one in range(6)
        )
    )
    proof_site.tell('to several instances at the same moment', ends)
    texts = collections.defaultdict(set)
    for number, ended in enumerate(ends):
        if ended.outcome is proof_site.ANSWERED:
            texts[number // 6].add(ended.text)
    assert len(texts) == KEYS
    assert all(len(found) == 1 for found in texts.values())
    await payer.check('and later', ends[::6])


async def key_value_down(site: proof_site.ProofSite) -> None:
    payer = Payer(site)
    await key_value(site, down=True)
    ends = [await payer.send(f'key{one}', one, 'd') for one in range(6)]
    await heal(site)
    refused = [one for one in ends if one is not None]
    proof_site.tell('the key-value service is down', refused)
    assert all(one.outcome is not proof_site.ANSWERED for one in refused)
    await payer.check('after the outage', await payer.pay_all())


async def entry_killed(site: proof_site.ProofSite) -> None:
    payer = Payer(site)
    await hang(site, LONG_S)
    paying = asyncio.create_task(payer.pay_all())
    await site.first_run(*site.services)
    await site.entries[0].kill()
    ends = await paying
    await heal(site)
    site.entries[0] = await site.launcher.entry(site.files[0])
    await payer.check('executing entry instance killed', ends)


async def entry_stopped(site: proof_site.ProofSite) -> None:
    payer = Payer(site)
    await hang(site, LONG_S)
    paying = asyncio.create_task(payer.pay_all())
    await site.first_run(*site.services)
    site.entries[0].pause()
    ends = await paying
    site.entries[0].resume()
    await heal(site)
    await payer.check('executing entry instance stopped and resumed', ends)


async def service_crashes(site: proof_site.ProofSite) -> None:
    payer = Payer(site)
    for service in site.services:
        await site.faults(service, crash_on=POISON)
    paying = asyncio.create_task(payer.pay_all())
    await asyncio.wait(
        [asyncio.create_task(one.wait()) for one in site.services],
        return_when=asyncio.FIRST_COMPLETED,
    )
    ends = await paying
    gone = [one for one in site.services if not one.is_running]
    assert len(gone) == 1
    ran = await site.ledger(*site.services)
    assert POISON not in {entry.key for entry in ran}
    await payer.check('plain service crashes while it runs', ends)


@pytest.mark.parametrize(
    'scenario',
    [
        pytest.param(one, marks=pytest.mark.point(5, title), id=title)
        for one, title in (
            (at_the_same_moment, 'sent to several at the same moment'),
            (key_value_down, 'the key-value service is down'),
            (entry_killed, 'the executing entry instance is killed'),
            (entry_stopped, 'the executing entry instance stops and resumes'),
            (service_crashes, 'the plain service crashes while it runs'),
        )
    ],
)
def test_at_most_once(
    scenario: proof_site.Scenario, tmp_path: pathlib.Path
) -> None:
    proof_site.run(tmp_path, scenario)
