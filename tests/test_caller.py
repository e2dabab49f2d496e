"""Test that callers cache addresses and verify answers."""

import asyncio
import collections
import json
from typing import Any

import pytest
from tornado import web

from emulator import (
    answer_text,
    call_outcome,
    caller,
    completion_request,
    load_counts,
    stand_in,
)
from oatcrank import rpc

ASKED = completion_request.CompletionRequest(
    model='m', prompt='hi', max_tokens=3, stream=True
)
SEED = answer_text.seed('m', '', 'hi')
TEXTS = [answer_text.token(SEED, index) for index in range(3)]
OTHER = [answer_text.token(SEED + 1, index) for index in range(3)]
REFUSAL = {
    'code': 'overloaded',
    'message': 'full',
    'run_state': 'did_not_run',
}


def events(texts: list[str], indexes: str = '012', digest: str = '') -> str:
    tokens: list[dict[str, Any]] = [
        {'index': int(index), 'text': text}
        for index, text in zip(indexes, texts, strict=True)
    ]
    tokens[-1]['digest'] = digest or answer_text.digest(texts)
    return ''.join(f'data: {json.dumps(token)}\n\n' for token in tokens)


DONE = 'data: [DONE]\n\n'
FAILED = f'data: {json.dumps({"error": REFUSAL})}\n\n'


class FixedHandler(web.RequestHandler):
    def initialize(self, **state: Any) -> None:
        self.state = state

    def get(self) -> None:
        self.state['counts']['directory'] += 1
        self.finish({'addresses': self.state['addresses'], 'keep_s': 60})

    def post(self) -> None:
        self.state['counts']['requests'] += 1
        self.set_status(self.state['status'])
        self.finish(self.state['body'])


def ask(
    status: int,
    body: str,
    dead: tuple[str, ...] = (),
    calls: int = 1,
) -> tuple[list[call_outcome.CallOutcome], collections.Counter[str]]:
    """Call an entry instance that answers every request with the body."""
    counts: collections.Counter[str] = collections.Counter()
    addresses = list(dead)
    state = {
        'addresses': addresses,
        'counts': counts,
        'status': status,
        'body': body,
    }

    async def run() -> list[call_outcome.CallOutcome]:
        app = web.Application([('/.*', FixedHandler, state)])
        async with stand_in.listening(app) as address:
            addresses.append(address)
            sender = caller.Caller(rpc.Rpc(), (*dead, address), 'p')
            return [await sender.complete(ASKED) for _ in range(calls)]

    return asyncio.run(run()), counts


@pytest.mark.parametrize(
    ('status', 'body', 'outcome'),
    [
        (200, events(TEXTS) + DONE, 'answered'),
        (200, events(TEXTS), 'interrupted'),
        (200, events(TEXTS) + FAILED, 'interrupted'),
        (200, events(TEXTS, '021') + DONE, 'wrong'),
        (200, events(TEXTS, digest='0') + DONE, 'wrong'),
        (200, events(OTHER) + DONE, 'wrong'),
        (503, json.dumps(REFUSAL), 'refused'),
        (500, 'oops', 'wrong'),
    ],
)
def test_outcomes(status: int, body: str, outcome: str) -> None:
    outcomes, _ = ask(status, body)
    assert outcomes[0].outcome.value == outcome


@pytest.mark.parametrize(
    ('dead', 'lookups'),
    [((), 1), (('127.0.0.1:1',), 3)],
)
def test_addresses_are_kept(dead: tuple[str, ...], lookups: int) -> None:
    outcomes, counts = ask(200, events(TEXTS) + DONE, dead, calls=3)
    assert {outcome.outcome for outcome in outcomes} == {
        call_outcome.Outcome.answered
    }
    assert counts == {'directory': lookups, 'requests': 3}


def test_counts() -> None:
    counts = load_counts.LoadCounts()
    for outcome in ask(503, json.dumps(REFUSAL), calls=2)[0]:
        counts.count_outcome(outcome)
    report = counts.report()
    assert report.count_by_outcome == {'refused': 2}
    assert report.count_by_refusal == {'overloaded did_not_run': 2}
