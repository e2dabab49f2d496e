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
    request_line: str,
    headers: tuple[str, ...],
    request_body: bytes,
    *,
    length: int | None = None,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    content_length = len(request_body) if length is None else length
    head = (
        f'{request_line} HTTP/1.1',
        'Host: x',
        f'Content-Length: {content_length}',
        *headers,
    )
    writer.write('\r\n'.join((*head, '', '')).encode() + request_body)
    return reader, writer


async def read_refusal(
    address: str,
    request_line: str,
    headers: tuple[str, ...],
    request_body: bytes,
) -> tuple[int, dict[str, object]]:
    reader, writer = await send(address, request_line, headers, request_body)
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    fields = dict(
        field.split(': ', 1) for field in head.split('\r\n')[1:] if field
    )
    answer = json.loads(await reader.readexactly(int(fields['Content-Length'])))
    writer.close()
    return int(head.split()[1]), answer


async def bad_input(site: proof_site.ProofSite) -> None:
    unexpected = []
    for request_line, headers, request_body, status, code in CASES:
        actual_status, answer = await read_refusal(
            site.addresses[0], request_line, headers, request_body
        )
        actual = (
            actual_status,
            answer['status'],
            answer['code'],
            answer['run_state'],
        )
        if actual != (status, status, code, 'did_not_run'):
            unexpected.append(
                (request_line, headers, request_body[:40], actual)
            )
    assert not unexpected
    _, writer = await send(
        site.addresses[0], COMPLETIONS, (TALK_PROFILE,), body(), length=500
    )
    await writer.drain()
    writer.close()
    named_headers = (TALK_PROFILE, 'X-Request-Id: mine')
    _, answer = await read_refusal(
        site.addresses[0], COMPLETIONS, named_headers, body(model='none')
    )
    assert answer['request_id'] == 'mine'
    assert not (await site.status(site.addresses[0])).sections['running']
    entries = await site.ledger(*site.engines, *site.services)
    assert {entry.request_id.split('.')[0] for entry in entries} <= {'warm'}


def test_bad_input(tmp_path: pathlib.Path) -> None:
    proof_site.run(tmp_path, bad_input)
