"""Test that invalid requests are refused with a code and never run."""

import asyncio
import json
import pathlib

import proof_site

GOOD = {'model': 'm-one', 'prompt': 'p', 'max_tokens': 1}
TALK_PROFILE = 'X-Oatcrank-Profile: talk'
COMPLETIONS = 'POST /v1/completions'
TILL = 'POST /v1/services/till/x'


def body(**changed: object) -> bytes:
    return json.dumps({**GOOD, **changed}).encode()


Case = tuple[str, tuple[str, ...], bytes, int, str]

CASES: tuple[Case, ...] = (
    (COMPLETIONS, (TALK_PROFILE,), b'{"model"', 400, 'bad_request'),
    (COMPLETIONS, (TALK_PROFILE,), b'\xff\xfe', 400, 'bad_request'),
    (COMPLETIONS, (TALK_PROFILE,), b'[]', 400, 'bad_request'),
    (COMPLETIONS, (TALK_PROFILE,), body(prompt=None), 400, 'bad_request'),
    (COMPLETIONS, (TALK_PROFILE,), body(max_tokens='x'), 400, 'bad_request'),
    (COMPLETIONS, (TALK_PROFILE,), body(model='none'), 400, 'unknown_model'),
    (
        COMPLETIONS,
        (TALK_PROFILE,),
        body(adapter='none'),
        400,
        'unknown_adapter',
    ),
    ('POST /v1/services/no/x', (TALK_PROFILE,), b'', 400, 'unknown_service'),
    (COMPLETIONS, (), body(), 400, 'bad_request'),
    (COMPLETIONS, (f'{TALK_PROFILE} x',), body(), 400, 'bad_request'),
    (
        COMPLETIONS,
        (TALK_PROFILE, 'X-Request-Id: a b'),
        body(),
        400,
        'bad_request',
    ),
    (
        COMPLETIONS,
        (TALK_PROFILE, 'Idempotency-Key: a b'),
        body(),
        400,
        'bad_request',
    ),
    (
        COMPLETIONS,
        ('X-Oatcrank-Profile: none',),
        body(),
        404,
        'unknown_profile',
    ),
    (
        TILL,
        ('X-Oatcrank-Profile: once',),
        b'x',
        400,
        'missing_idempotency_key',
    ),
    (TILL, (TALK_PROFILE,), b'x' * 2_000_000, 413, 'too_large'),
    ('GET /v1/completions', (TALK_PROFILE,), b'', 405, 'bad_request'),
    ('PATCH /v1/services/till/x', (TALK_PROFILE,), b'', 405, 'bad_request'),
    ('POST /v2/completions', (TALK_PROFILE,), body(), 404, 'not_found'),
)


async def send(
    address: str,
    line: str,
    headers: tuple[str, ...],
    sent: bytes,
    *,
    length: int | None = None,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    content_length = len(sent) if length is None else length
    head = (
        f'{line} HTTP/1.1',
        'Host: x',
        f'Content-Length: {content_length}',
        *headers,
    )
    writer.write('\r\n'.join((*head, '', '')).encode() + sent)
    return reader, writer


async def read_refusal(
    address: str,
    line: str,
    headers: tuple[str, ...],
    sent: bytes,
) -> tuple[int, dict[str, object]]:
    reader, writer = await send(address, line, headers, sent)
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    fields = dict(
        field.split(': ', 1) for field in head.split('\r\n')[1:] if field
    )
    answer = json.loads(await reader.readexactly(int(fields['Content-Length'])))
    writer.close()
    return int(head.split()[1]), answer


async def bad_input(site: proof_site.ProofSite) -> None:
    unexpected = []
    for line, headers, sent, status, code in CASES:
        seen, answer = await read_refusal(
            site.addresses[0], line, headers, sent
        )
        found = (seen, answer['status'], answer['code'], answer['run_state'])
        if found != (status, status, code, 'did_not_run'):
            unexpected.append((line, headers, sent[:40], found))
    assert not unexpected
    _, writer = await send(
        site.addresses[0], COMPLETIONS, (TALK_PROFILE,), body(), length=500
    )
    await writer.drain()
    writer.close()
    named = (TALK_PROFILE, 'X-Request-Id: mine')
    _, answer = await read_refusal(
        site.addresses[0], COMPLETIONS, named, body(model='none')
    )
    assert answer['request_id'] == 'mine'
    assert not (await site.status(site.addresses[0])).sections['running']
    ran = await site.ledger(*site.engines, *site.services)
    assert {entry.request_id.split('.')[0] for entry in ran} <= {'warm'}


def test_bad_input(tmp_path: pathlib.Path) -> None:
    proof_site.run(tmp_path, bad_input)
