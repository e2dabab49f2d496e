"""Prove that a planned stop interrupts no request."""

import asyncio
import pathlib

import proof_site
import pytest

from emulator import call_outcome

CALLERS = 6
# After the time for which callers keep addresses, and its margin.
LATE_S = 3.5


async def work(
    site: proof_site.ProofSite,
    number: int,
    stopped: asyncio.Event,
    ends: list[call_outcome.CallOutcome],
) -> None:
    """Call repeatedly, keeping addresses for their full TTL."""
    talk = site.caller('talk')
    once = site.caller('once')
    count = 0
    while not stopped.is_set():
        count += 1
        name = f'c{number}n{count}'
        ends.append(
            await talk.complete(
                proof_site.new_completion('m-one', name, tokens=30)
            )
        )
        ends.append(
            await once.call_service(
                proof_site.SERVICE, 'pay', b'x', key=name, request_id=f'k{name}'
            )
        )


async def rolling(site: proof_site.ProofSite) -> None:
    stopped = asyncio.Event()
    ends: list[call_outcome.CallOutcome] = []
    async with asyncio.TaskGroup() as group:
        for number in range(CALLERS):
            group.create_task(work(site, number, stopped, ends))
        for number, file in enumerate(site.files):
            await site.wait_for_first_run(*site.engines)
            before = len(ends)
            site.entries[number].terminate()
            assert await site.entries[number].wait() == 0
            assert len(ends) > before
            site.entries[number] = await site.launcher.start_entry(file)
        stopped.set()
    proof_site.print_outcomes('all entry instances replaced under load', ends)
    assert proof_site.count_outcomes(ends) == {'answered': len(ends)}
    ran = await site.ledger(*site.services)
    assert len({entry.key for entry in ran}) == len(ran)


async def long_stream(site: proof_site.ProofSite) -> None:
    """Stop an instance while it streams for longer than addresses are kept."""
    sender = site.caller('talk', site.addresses[0])
    asking = asyncio.create_task(
        sender.complete(proof_site.new_completion('m-one', 'long', tokens=600))
    )
    while 'long' not in await proof_site.started_request_ids(site):
        await asyncio.sleep(0)
    site.entries[0].terminate()
    ended = await asking
    assert ended.outcome is proof_site.ANSWERED, ended.problem
    assert await site.entries[0].wait() == 0


async def late_request(site: proof_site.ProofSite) -> None:
    """Send a request after all callers should have left the instance.

    The stop does not wait for the end of such a request.
    """
    sender = site.caller('talk', site.addresses[0])
    asking = asyncio.create_task(
        sender.complete(proof_site.new_completion('m-one', 'long', tokens=900))
    )
    while 'long' not in await proof_site.started_request_ids(site):
        await asyncio.sleep(0)
    site.entries[0].terminate()
    await asyncio.sleep(LATE_S)
    assert not asking.done()
    late = await sender.complete(
        proof_site.new_completion('m-one', 'late', tokens=900)
    )
    assert late.outcome is call_outcome.Outcome.refused, late.problem
    assert 'late' not in await proof_site.started_request_ids(site)
    assert (await asking).outcome is proof_site.ANSWERED
    assert await site.entries[0].wait() == 0


@pytest.mark.parametrize(
    'scenario',
    [
        pytest.param(scenario, marks=pytest.mark.point(7, title), id=title)
        for scenario, title in (
            (rolling, 'every entry instance is replaced under load'),
            (long_stream, 'an entry instance stops amid a long stream'),
            (late_request, 'a request comes late in a planned stop'),
        )
    ],
)
def test_planned_stop(
    scenario: proof_site.Scenario, tmp_path: pathlib.Path
) -> None:
    proof_site.run(tmp_path, scenario)
