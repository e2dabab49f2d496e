"""Test what callers of `oatcrank serve` get when the grace of a stop ends."""

import asyncio
import pathlib

import proof_site

from oatcrank import refusal
from oatcrank.settings import limits_settings

LIMITS = limits_settings.LimitsSettings(address_keep_s=1, stop_grace_s=1)
# Longer than a stop.
LONG_S = 30
LONG_TOKENS = 2000
# More than engines run at once.
STREAMS = 40


async def stop_under_load(site: proof_site.ProofSite) -> None:
    for service in site.services:
        await site.faults(service, hang_s=LONG_S)
    talk = site.caller('talk', site.addresses[0])
    once = site.caller('once', site.addresses[0])
    calls = [
        asyncio.create_task(
            sender.call_service(proof_site.SERVICE, 'pay', b'x', key='k')
        )
        for sender in (talk, once)
    ]
    streams = [
        asyncio.create_task(
            talk.complete(
                proof_site.new_completion(
                    'm-one', f'long-{number}', tokens=LONG_TOKENS
                )
            )
        )
        for number in range(STREAMS)
    ]
    await site.wait_for_first_run(*site.services)
    await site.wait_for_first_run(*site.engines)
    site.entries[0].terminate()
    ended = await asyncio.gather(*calls, *streams)
    assert await site.entries[0].wait() == 0
    proof_site.print_outcomes('the grace of a stop ended', ended)
    assert all(end.refused is not None for end in ended)
    refused = [end.refused for end in ended if end.refused is not None]
    assert {entry.code for entry in refused} == {refusal.Code.stopping}
    states = [entry.run_state for entry in refused]
    assert states[0] is refusal.RunState.may_have_run
    assert states[1] is refusal.RunState.may_have_run
    ran = await proof_site.started_request_ids(site)
    # One that was sent, but had not begun, may run as well.
    not_run = {
        f'long-{number}'
        for number, state in enumerate(states[len(calls) :])
        if state is refusal.RunState.did_not_run
    }
    assert not_run
    assert not not_run & ran


def test_requests_that_a_stop_ends_are_refused(tmp_path: pathlib.Path) -> None:
    """Their connections were closed without an answer."""
    proof_site.run(tmp_path, stop_under_load, limits=LIMITS)
