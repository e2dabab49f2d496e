"""Prove that a request refused as not run was never run."""

import asyncio
import pathlib
from collections.abc import Awaitable, Callable, Iterable

import proof_site
import pytest

from emulator import call_outcome
from oatcrank import refusal
from oatcrank.settings import limits_settings

CALLS = 150
Ended = call_outcome.CallOutcome
Ends = dict[str, Ended]
Scene = Callable[[proof_site.ProofSite], Awaitable[Ends]]


async def ask(
    site: proof_site.ProofSite,
    names: Iterable[str],
    *,
    profile: str = 'talk',
    model: str = 'm-one',
    key: bool = False,
) -> Ends:
    """Send streams and calls alternately; return outcomes by request id."""
    senders = [site.caller(profile, address) for address in site.addresses]

    async def send(number: int, name: str) -> Ended:
        sender = senders[number % len(senders)]
        if number % 2:
            return await sender.call_service(
                proof_site.SERVICE,
                'x',
                name.encode(),
                request_id=name,
                key=name if key else '',
            )
        asked = proof_site.new_completion(model, name, tokens=40)
        return await sender.complete(asked, key=name if key else '')

    listed = list(names)
    ended = await asyncio.gather(
        *(send(number, name) for number, name in enumerate(listed))
    )
    return dict(zip(listed, ended, strict=True))


def names(prefix: str, count: int = CALLS) -> list[str]:
    return [f'{prefix}{number}' for number in range(count)]


async def busy(site: proof_site.ProofSite) -> Ends:
    """Send more requests than the engines and queues can hold."""
    return await ask(site, names('busy', 2 * CALLS), profile='hasty')


async def refusing(site: proof_site.ProofSite) -> Ends:
    for engine in site.engines:
        await site.faults(engine, refuse=True)
    return await ask(site, names('refuse'), profile='hasty')


async def leaving(site: proof_site.ProofSite) -> Ends:
    for server in (*site.engines, *site.services):
        await site.faults(server, leaving=True)
    return await ask(site, names('leave'), profile='hasty')


async def unknown(site: proof_site.ProofSite) -> Ends:
    ends = await ask(site, names('model', 30), model='none')
    return ends | await ask(site, names('profile', 30), profile='none')


async def unkeyed(site: proof_site.ProofSite) -> Ends:
    return await ask(site, names('unkeyed', 30), profile='once')


async def key_value_down(site: proof_site.ProofSite) -> Ends:
    await site.faults(site.key_value, down=True)
    return await ask(site, names('down', 30), profile='once', key=True)


async def services_cut(site: proof_site.ProofSite) -> Ends:
    for service in site.services:
        await site.faults(service, cut_before=40)
    ends = await ask(site, names('cut'))
    for service in site.services:
        await site.faults(service, cut_before=40)
    return ends | await ask(site, names('once', 60), profile='once', key=True)


async def engine_stopped(site: proof_site.ProofSite) -> Ends:
    """Pause an engine amid its streams; resume it to read its ledger."""
    asking = asyncio.create_task(ask(site, names('stop'), profile='hasty'))
    while not await proof_site.started_request_ids(site):
        await asyncio.sleep(0)
    holder = await proof_site.busiest_engine(site)
    holder.pause()
    ends = await asking
    holder.resume()
    return ends


async def killed(site: proof_site.ProofSite) -> Ends:
    """Kill the only engine of a failure domain and all plain services."""
    asking = asyncio.create_task(ask(site, names('kill'), profile='hasty'))
    while not await proof_site.started_request_ids(site):
        await asyncio.sleep(0)
    holder = await proof_site.busiest_engine(site)
    lost = (holder, *site.services)
    # Their ledgers cannot be read once they are killed.
    site.ledger_of_killed = await site.ledger(*lost)
    await asyncio.gather(*(process.kill() for process in lost))
    ends = await asking
    return ends | await ask(site, names('after', 30), profile='hasty')


async def check(
    site: proof_site.ProofSite,
    title: str,
    ends: Ends,
) -> None:
    proof_site.print_outcomes(title, ends.values())
    not_run = {
        name
        for name, ended in ends.items()
        if ended.refused is not None
        and ended.refused.run_state is refusal.RunState.did_not_run
    }
    assert not_run
    assert all(
        ended.refused is not None or ended.outcome is proof_site.ANSWERED
        for ended in ends.values()
    )
    ran = site.ledger_of_killed
    ran += await site.ledger(*site.engines, *site.services)
    assert not_run.isdisjoint(entry.request_id.split('.')[0] for entry in ran)
    left = {
        ended.refused.request_id
        for ended in ends.values()
        if ended.refused is not None
    }
    assert left <= set(ends)


@pytest.mark.parametrize(
    'scene',
    [
        pytest.param(scene, marks=pytest.mark.point(4, title), id=title)
        for scene, title in (
            (busy, 'engines are busy and queues are full'),
            (refusing, 'engines refuse as busy'),
            (leaving, 'backend servers refuse as leaving'),
            (unknown, 'unknown models and profiles'),
            (unkeyed, 'no idempotency key'),
            (key_value_down, 'the key-value service is down'),
            (services_cut, 'plain services cut calls before the run'),
            (engine_stopped, 'an engine stops amid its streams'),
            (killed, 'an engine and the plain services are killed'),
        )
    ],
)
def test_not_run(
    scene: Scene, tmp_path: pathlib.Path, request: pytest.FixtureRequest
) -> None:
    async def scenario(site: proof_site.ProofSite) -> None:
        ends = await scene(site)
        await check(site, request.node.callspec.id, ends)

    limits = limits_settings.LimitsSettings(queued_per_model=8)
    proof_site.run(tmp_path, scenario, limits=limits, queue_limit=2)
