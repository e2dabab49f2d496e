"""Send a load at a rate that does not wait for answers, and measure."""

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
    completion,
    load_counts,
)
from oatcrank import rpc

DEFAULT_TOKENS = 64
DESCRIPTION = """\
Send model requests at a steady mean rate with random gaps.  Arrivals do not
wait for earlier answers, so a slow system shows as late answers and not as
fewer requests.  Every answer is checked for order, digest and owner.

"sent late" tells how far the tool itself is behind: where it is not small, the
tool is what is measured, and more --processes are needed (one carries about
2,000 tokens a second)."""


async def send(
    options: argparse.Namespace,
    counts: load_counts.LoadCounts,
) -> None:
    """Send the whole load and wait for its last answer."""
    client = rpc.Rpc()
    callers = [
        caller.Caller(client, tuple(options.known), options.profile)
        for _ in range(options.callers)
    ]
    drawn = random.Random(options.seed)
    loop = asyncio.get_running_loop()
    due = loop.time()
    end = due + options.seconds
    async with asyncio.TaskGroup() as calls:
        while due < end:
            await asyncio.sleep(max(0, due - loop.time()))
            sender = callers[counts.sent % len(callers)]
            asked = _asked(options, drawn, counts.sent)
            calls.create_task(_call(sender, asked, counts))
            counts.send(loop.time() - due)
            due += drawn.expovariate(options.rate)


def main(arguments: list[str]) -> int:
    """Run the tool; 1 if an answer was wrong or nobody could be reached."""
    options = _parser().parse_args(arguments)
    counts = load_counts.LoadCounts()
    if options.processes > 1:
        asyncio.run(_load_processes.spread(options, arguments, counts))
    else:
        asyncio.run(send(options, counts))
    report = counts.report()
    sys.stdout.write(f'{report.text()}\n')
    if options.json:
        options.json.write_bytes(msgspec.json.encode(report))
    bad = (call_outcome.Outcome.wrong, call_outcome.Outcome.unreachable)
    return int(any(end.value in report.count_by_outcome for end in bad))


async def _call(
    sender: caller.Caller,
    asked: completion.Completion,
    counts: load_counts.LoadCounts,
) -> None:
    counts.add(await sender.complete(asked))


def _asked(
    options: argparse.Namespace,
    drawn: random.Random,
    number: int,
) -> completion.Completion:
    return completion.Completion(
        model=drawn.choice(options.model),
        adapter=drawn.choice(options.adapter or ['']),
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
    add('--known', nargs='+', required=True, help='entry instances, ip:port')
    add('--profile', required=True, help='the name of the profile')
    add('--model', nargs='+', required=True, help='drawn from at random')
    add('--adapter', nargs='*', help='drawn from at random; of every model')
    add('--callers', type=int, default=8, help='callers with own addresses')
    add('--rate', type=float, default=10, help='requests a second')
    add('--seconds', type=float, default=10, help='how long to send')
    add('--tokens', type=int, default=DEFAULT_TOKENS, help='of an answer')
    add('--processes', type=int, default=1, help='spread over so many')
    add('--seed', type=int, default=1, help='of gaps, models and ids')
    add('--json', type=pathlib.Path, help='write the report to this file')
    return parser
