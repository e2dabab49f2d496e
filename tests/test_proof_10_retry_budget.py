"""Prove that retries stay a bounded share of the requests."""

import asyncio
import pathlib

import proof_site
import pytest

from oatcrank.entry import retry_budget
from oatcrank.settings import limits_settings

OFFERED = 60
SHARE = limits_settings.LimitsSettings().retry_share
ALLOWED = (
    1 + SHARE
) * OFFERED + proof_site.ENTRY_COUNT * retry_budget.BURST_RETRIES
DOMAINS = ('d-a', 'd-a', 'd-b', 'd-b')


def failed_attempts(directory: pathlib.Path) -> int:
    """Count the failed attempts in the logs of the entry instances."""
    logs = [path.read_text() for path in directory.glob('entry-*.log')]
    return sum(log.count('event=attempt_failed') for log in logs)


async def running(site: proof_site.ProofSite) -> int:
    statuses = [await site.status(address) for address in site.addresses]
    return sum(status.sections['running'] for status in statuses)


def make(directory: pathlib.Path) -> proof_site.Scenario:
    async def domain_lost(site: proof_site.ProofSite) -> None:
        senders = [site.caller('talk', address) for address in site.addresses]
        # All are in flight when the domain is lost, so all need a retry.
        requests = asyncio.gather(
            *(
                senders[number % len(senders)].complete(
                    proof_site.new_completion('m-one', f'r{number}', tokens=150)
                )
                for number in range(OFFERED)
            )
        )
        while await running(
            site
        ) < OFFERED or not await proof_site.started_request_ids(site):
            await asyncio.sleep(0)
        holder = site.engines.index(await proof_site.busiest_engine(site))
        lost = [
            engine
            for engine, domain in zip(site.engines, DOMAINS, strict=True)
            if domain == DOMAINS[holder]
        ]
        await asyncio.gather(*(engine.kill() for engine in lost))
        await site.remove_from_list(lost)
        ends = await requests
        done = sum(ended.outcome is proof_site.ANSWERED for ended in ends)
        failed = failed_attempts(directory)
        title = f'{failed} failed attempts, {ALLOWED - done:.0f} allowed'
        proof_site.print_outcomes(title, ends)
        assert failed
        assert done + failed <= ALLOWED

    return domain_lost


@pytest.mark.point(10, 'the engines of a failure domain are killed under load')
def test_domain_lost(tmp_path: pathlib.Path) -> None:
    proof_site.run(tmp_path, make(tmp_path), domains=DOMAINS)
