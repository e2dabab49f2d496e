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
CRASHING_KEY = 'key7'
MAX_SENDS = 8
CALLER_TIMEOUT_S = 0.25
HANG_S = 0.5
KEY_VALUE_DELAY_S = 0.08
RETRY_S = 0.3
Fault = Callable[[proof_site.ProofSite], Awaitable[None]]
Ended = call_outcome.CallOutcome


class ResendingCaller:
    """Send calls with a key and resend them after a short timeout."""

    def __init__(self, site: proof_site.ProofSite) -> None:
        self.site = site
        self.callers = [
            site.caller('once', address) for address in site.addresses
        ]

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
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                return await call
        except TimeoutError:
            return None

    async def send_until_final(self, number: int) -> Ended | None:
        """Resend to each instance in turn until the outcome is final."""
        key = f'key{number}'
        ended = None
        for attempt in range(MAX_SENDS):
            ended = await self.send(key, number + attempt, str(attempt))
            if ended is not None and _is_final(ended):
                return ended
            await asyncio.sleep(RETRY_S if ended else 0)
        return ended

    async def send_all(self) -> list[Ended | None]:
        return await asyncio.gather(*map(self.send_until_final, range(KEYS)))

    async def check(self, title: str, ends: list[Ended | None]) -> None:
        """Check that nothing ran twice and that resends get the same answer."""
        site = self.site
        kept = [ended for ended in ends if ended is not None]
        done = sum(ended.outcome is proof_site.ANSWERED for ended in kept)
        proof_site.print_outcomes(
            f'{title}, {done} of {len(ends)} answered', kept
        )
        ran = await site.ledger(*site.services)
        runs = collections.Counter(entry.key for entry in ran)
        assert max(runs.values(), default=0) <= 1, runs
        for number, ended in enumerate(ends):
            if ended is not None and ended.outcome is proof_site.ANSWERED:
                await self.check_resends(number, ended.text)

    async def check_resends(self, number: int, text: str) -> None:
        for sender in self.callers:
            resend = await self.resend(f'key{number}', sender)
            assert resend.text == text, resend

    async def resend(self, key: str, sender: caller.Caller) -> Ended:
        """Resend without a timeout until the outcome is final."""
        resend = None
        while resend is None or not _is_final(resend):
            resend = await sender.call_service(
                proof_site.SERVICE, 'pay', key.encode(), key=key
            )
        return resend


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


async def slow_services(site: proof_site.ProofSite) -> None:
    await hang(site, HANG_S)


async def answers_cut(site: proof_site.ProofSite) -> None:
    for service in site.services:
        await site.faults(service, cut_after=5)


async def calls_cut(site: proof_site.ProofSite) -> None:
    for service in site.services:
        await site.faults(service, cut_before=5)


async def slow_key_value(site: proof_site.ProofSite) -> None:
    await key_value(site, hang_s=KEY_VALUE_DELAY_S)


async def lost_answers(site: proof_site.ProofSite) -> None:
    await key_value(site, lose_answers=20)


async def lost_requests(site: proof_site.ProofSite) -> None:
    await key_value(site, lose_requests=20)


async def no_fault(site: proof_site.ProofSite) -> None:
    """Add no fault."""


async def heal(site: proof_site.ProofSite) -> None:
    await hang(site, 0)
    await key_value(site, down=False, hang_s=0, lose_answers=0, lose_requests=0)


@pytest.mark.parametrize(
    'fault',
    [
        pytest.param(fault, marks=pytest.mark.point(5, title), id=title)
        for fault, title in (
            (no_fault, 'no fault'),
            (slow_services, 'callers time out and resend elsewhere'),
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
        sender = ResendingCaller(site)
        await fault(site)
        ends = await sender.send_all()
        await heal(site)
        await sender.check(request.node.callspec.id, ends)

    proof_site.run(tmp_path, scenario)


async def at_the_same_moment(site: proof_site.ProofSite) -> None:
    sender = ResendingCaller(site)
    ends = await asyncio.gather(
        *(
            sender.callers[number % 3].call_service(
                proof_site.SERVICE, 'pay', key.encode(), key=key
            )
            for key in map('key{}'.format, range(KEYS))
            for number in range(6)
        )
    )
    proof_site.print_outcomes('to several instances at the same moment', ends)
    texts = collections.defaultdict(set)
    for number, ended in enumerate(ends):
        if ended.outcome is proof_site.ANSWERED:
            texts[number // 6].add(ended.text)
    assert len(texts) == KEYS
    assert all(len(answers) == 1 for answers in texts.values())
    await sender.check('and later', ends[::6])


async def key_value_down(site: proof_site.ProofSite) -> None:
    sender = ResendingCaller(site)
    await key_value(site, down=True)
    ends = [
        await sender.send(f'key{number}', number, 'd') for number in range(6)
    ]
    await heal(site)
    refused = [ended for ended in ends if ended is not None]
    proof_site.print_outcomes('the key-value service is down', refused)
    assert all(ended.outcome is not proof_site.ANSWERED for ended in refused)
    await sender.check('after the outage', await sender.send_all())


async def entry_killed(site: proof_site.ProofSite) -> None:
    sender = ResendingCaller(site)
    await hang(site, HANG_S)
    paying = asyncio.create_task(sender.send_all())
    await site.wait_for_first_run(*site.services)
    await site.entries[0].kill()
    ends = await paying
    await heal(site)
    site.entries[0] = await site.launcher.start_entry(site.files[0])
    await sender.check('executing entry instance killed', ends)


async def entry_stopped(site: proof_site.ProofSite) -> None:
    sender = ResendingCaller(site)
    await hang(site, HANG_S)
    paying = asyncio.create_task(sender.send_all())
    await site.wait_for_first_run(*site.services)
    site.entries[0].pause()
    ends = await paying
    site.entries[0].resume()
    await heal(site)
    await sender.check('executing entry instance stopped and resumed', ends)


async def service_crashes(site: proof_site.ProofSite) -> None:
    sender = ResendingCaller(site)
    for service in site.services:
        await site.faults(service, crash_on=CRASHING_KEY)
    paying = asyncio.create_task(sender.send_all())
    await asyncio.wait(
        [asyncio.create_task(process.wait()) for process in site.services],
        return_when=asyncio.FIRST_COMPLETED,
    )
    ends = await paying
    gone = [process for process in site.services if not process.is_running]
    assert len(gone) == 1
    ran = await site.ledger(*site.services)
    assert CRASHING_KEY not in {entry.key for entry in ran}
    await sender.check('plain service crashes while it runs', ends)


@pytest.mark.parametrize(
    'scenario',
    [
        pytest.param(scenario, marks=pytest.mark.point(5, title), id=title)
        for scenario, title in (
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
