"""Open-loop load generator for model requests."""

import argparse
import asyncio
import pathlib
import random
import sys

import msgspec

from emulator import (
    _load_processes,
    call_outcome,
    caller,
    completion_request,
    load_counts,
)
from oatcrank import rpc

DEFAULT_TOKENS = 64
DESCRIPTION = """\
Send model requests at a constant mean rate with random gaps.  Arrivals don't
wait for earlier answers, so a slow system shows as late answers and not as
fewer requests.  Every answer is checked for token order, digest and whether it
belongs to its request.

"sent late" is the delay of the load generator itself.  If it isn't small, the
results measure the generator; use more --processes (one process handles about
2,000 tokens per second)."""


async def send_load(
    options: argparse.Namespace,
    counts: load_counts.LoadCounts,
) -> None:
    """Send all requests and wait for the last answer."""
    client = rpc.Rpc()
    callers = [
        caller.Caller(client, tuple(options.known), options.profile)
        for _ in range(options.callers)
    ]
    rng = random.Random(options.seed)
    loop = asyncio.get_running_loop()
    due = loop.time()
    end = due + options.seconds
    async with asyncio.TaskGroup() as calls:
        while due < end:
            await asyncio.sleep(max(0, due - loop.time()))
            sender = callers[counts.sent % len(callers)]
            request = _new_request(options, rng, counts.sent)
            calls.create_task(_call(sender, request, counts))
            counts.count_sent(loop.time() - due)
            due += rng.expovariate(options.rate)


def main(arguments: list[str]) -> int:
    """Run the load; 1 if an answer was wrong or no instance reachable."""
    options = _parser().parse_args(arguments)
    counts = load_counts.LoadCounts()
    if options.processes > 1:
        asyncio.run(_load_processes.run_processes(options, arguments, counts))
    else:
        asyncio.run(send_load(options, counts))
    report = counts.report()
    sys.stdout.write(f'{report.text()}\n')
    if options.json:
        options.json.write_bytes(msgspec.json.encode(report))
    failures = (call_outcome.Outcome.wrong, call_outcome.Outcome.unreachable)
    return int(any(end.value in report.count_by_outcome for end in failures))


async def _call(
    sender: caller.Caller,
    request: completion_request.CompletionRequest,
    counts: load_counts.LoadCounts,
) -> None:
    counts.count_outcome(await sender.complete(request))


def _new_request(
    options: argparse.Namespace,
    rng: random.Random,
    number: int,
) -> completion_request.CompletionRequest:
    return completion_request.CompletionRequest(
        model=rng.choice(options.model),
        adapter=rng.choice(options.adapter or ['']),
        prompt=f'load request {options.seed}.{number}',
        max_tokens=options.tokens,
        stream=True,
        request_id=f'load-{options.seed}-{number}',
    )


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='emulator load',
        description=DESCRIPTION,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add = parser.add_argument
    add('--known', nargs='+', required=True, help='entry instances as ip:port')
    add('--profile', required=True, help='name of the profile')
    add('--model', nargs='+', required=True, help='models to draw from')
    add(
        '--adapter',
        nargs='*',
        help='adapters to draw from; each must fit every model',
    )
    add(
        '--callers',
        type=int,
        default=8,
        help='callers, each with its own address cache',
    )
    add('--rate', type=float, default=10, help='requests per second')
    add('--seconds', type=float, default=10, help='duration of sending')
    add('--tokens', type=int, default=DEFAULT_TOKENS, help='tokens per answer')
    add(
        '--processes', type=int, default=1, help='processes that share the rate'
    )
    add(
        '--seed',
        type=int,
        default=1,
        help='random seed for gaps, models and ids',
    )
    add('--json', type=pathlib.Path, help='write the report to this file')
    return parser
