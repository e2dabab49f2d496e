"""Prove that each caller receives the complete answer to its own request."""

import asyncio
import json
import pathlib

import proof_site
import pytest

from emulator import call_outcome

STREAMS = 300
DROPPED = 40


async def send_many(
    site: proof_site.ProofSite,
    count: int = STREAMS,
    *,
    tokens: int = 20,
) -> list[call_outcome.CallOutcome]:
    senders = [site.caller('talk', address) for address in site.addresses]
    return await asyncio.gather(
        *(
            senders[number % len(senders)].complete(
                proof_site.new_completion(
                    proof_site.MODELS[number % 2],
                    f'r{number}',
                    tokens=tokens + number % 7,
                    adapter='' if number % 4 else proof_site.ADAPTER,
                )
            )
            for number in range(count)
        )
    )


def check(outcomes: list[call_outcome.CallOutcome], title: str) -> None:
    proof_site.print_outcomes(title, outcomes)
    unexplained = [
        outcome
        for outcome in outcomes
        if outcome.outcome is not proof_site.ANSWERED
        and outcome.refused is None
    ]
    assert not unexplained, unexplained[:3]
    assert any(outcome.outcome is proof_site.ANSWERED for outcome in outcomes)


async def undisturbed(site: proof_site.ProofSite) -> None:
    outcomes = await send_many(site)
    check(outcomes, 'no fault')
    assert proof_site.count_outcomes(outcomes) == {'answered': STREAMS}


async def cut(site: proof_site.ProofSite) -> None:
    holder = await proof_site.busiest_engine(site)
    await site.faults(holder, cut_stream_after=12)
    asking = asyncio.create_task(send_many(site, 24))
    while not any(entry.cancelled for entry in await site.ledger(holder)):
        await asyncio.sleep(0)
    await site.faults(holder, cut_stream_after=None)
    check(await asking, 'engine cuts its streams')
    assert await resumed(site)


async def resumed(site: proof_site.ProofSite) -> bool:
    entries = await site.ledger(*site.engines)
    return any(entry.request_id.endswith('.2') for entry in entries)


async def killed(site: proof_site.ProofSite) -> None:
    asking = asyncio.create_task(send_many(site, 24, tokens=80))
    while len(await proof_site.started_request_ids(site)) < 24:
        await asyncio.sleep(0)
    holder = await proof_site.busiest_engine(site)
    await holder.kill()
    await site.remove_from_list([holder])
    outcomes = await asking
    check(outcomes, 'engine killed mid-stream')
    assert await resumed(site)


async def dropped(site: proof_site.ProofSite) -> None:
    for number in range(DROPPED):
        await drop(site, number)
    while not await all_ended(site):
        await asyncio.sleep(0)
    entries = await site.ledger(*site.engines)
    left = [entry for entry in entries if entry.request_id[:1] == 'd']
    assert len(left) == DROPPED
    assert all(entry.cancelled for entry in left)
    await site.wait_until_idle()
    check(await send_many(site, 30), 'after callers that went')


async def all_ended(site: proof_site.ProofSite) -> bool:
    entries = await site.ledger(*site.engines)
    return all(entry.finished is not None for entry in entries)


async def drop(site: proof_site.ProofSite, number: int) -> None:
    host, port = site.addresses[number % 3].split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    asked = {'model': 'm-one', 'prompt': f'{number}', 'max_tokens': 5000}
    body = json.dumps({**asked, 'stream': True}).encode()
    head = (
        f'POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: d{number}'
    )
    rest = f'X-Oatcrank-Profile: talk\r\nContent-Length: {len(body)}'
    writer.write(f'{head}\r\n{rest}\r\n\r\n'.encode() + body)
    await reader.readuntil(b'data: ')
    writer.close()


@pytest.mark.parametrize(
    'scenario',
    [
        pytest.param(
            undisturbed,
            marks=pytest.mark.point(3, 'hundreds of interleaved streams'),
        ),
        pytest.param(
            cut, marks=pytest.mark.point(3, 'an engine cuts its streams')
        ),
        pytest.param(
            killed, marks=pytest.mark.point(3, 'an engine killed mid-stream')
        ),
        pytest.param(
            dropped, marks=pytest.mark.point(3, 'callers drop connections')
        ),
    ],
)
def test_whole_answer(
    scenario: proof_site.Scenario, tmp_path: pathlib.Path
) -> None:
    proof_site.run(tmp_path, scenario)
