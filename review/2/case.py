"""A late copy of a server's refusal is taken as the answer to another send."""

import asyncio
import collections
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab import (  # noqa: E402
    caller,
    deployment,
    playing,
    record,
    server,
    store,
    system,
)

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
DURATION_S = 95.0
# Garbled answers come for 5.5 s at a time.
GARBLE_S = 5.5
PAUSE_S = 0.5
REPEAT_SHARE = 0.03
GARBLING_SERVERS = 3
INSTANCES = 9
MEAN_GAP_S = 0.13
DEADLINE_S = 10.0
PATH = '/pufi791/2f'


async def _garble(targets: list[server.Server]) -> None:
    while True:
        for target in targets:
            target.repeat_share = REPEAT_SHARE
        await asyncio.sleep(GARBLE_S)
        for target in targets:
            target.repeat_share = 0.0
        await asyncio.sleep(PAUSE_S)


async def _call(clients: caller.Caller, model: str, seed: int) -> None:
    """Request one model at random times."""
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + DURATION_S
    sending = []
    while loop.time() < ends_s:
        sending.append(
            asyncio.ensure_future(
                clients.send(
                    'POST',
                    PATH,
                    caller.stream_headers(model),
                    DEADLINE_S,
                    b'{}',
                )
            )
        )
        await asyncio.sleep(rng.expovariate(1 / MEAN_GAP_S))
    await asyncio.gather(*sending)


async def main() -> int:
    """Play the case; return the exit status."""
    written = record.Record(HERE / 'record.txt')
    kept = store.Store(written.write)
    await kept.start()
    # Each model is held by one server, as most models are.
    servers = [
        server.Server(
            f'i-{number}',
            deployment.WORDBAY,
            system.ZONES[number % len(system.ZONES)],
            kept,
            written.write,
            slots=2,
            queue=0,
            run_s=0.12,
            events=4,
            models=(model,),
        )
        for number, model in enumerate(deployment.MODELS)
    ]
    for started in servers:
        await started.start()
    kept.put(
        'op/config',
        deployment.configuration(
            3,
            [
                deployment.route(
                    '/pufi791/',
                    'streaming',
                    deployment.WORDBAY,
                    resumable=False,
                    gap_target_ms=150,
                    sticky=True,
                )
            ],
            [deployment.model_service(2)],
        ),
    )
    running = system.System(INSTANCES, kept.address)
    garbling = None
    try:
        await running.start()
        await asyncio.sleep(3.0)
        clients = caller.Caller(running.instances, written.write)
        if TROUBLE:
            garbling = asyncio.ensure_future(
                _garble(servers[:GARBLING_SERVERS])
            )
        await asyncio.gather(
            *(
                _call(clients, model, seed)
                for seed, model in enumerate(deployment.MODELS)
            )
        )
        return _judge(clients, servers, written)
    finally:
        if garbling is not None:
            garbling.cancel()
        running.end()
        for started in servers:
            started.stop()
        kept.stop()
        written.close()


def _judge(
    clients: caller.Caller,
    servers: list[server.Server],
    written: record.Record,
) -> int:
    runs = collections.Counter(
        run.request_id for known in servers for run in known.runs
    )
    twice = [request_id for request_id, count in runs.items() if count > 1]
    refused = [
        attempt.request_id
        for attempt in clients.attempts
        if attempt.status in {429, 503} and runs[attempt.request_id]
    ]
    statuses = collections.Counter(
        attempt.status for attempt in clients.attempts
    )
    written.write(
        'result',
        attempts=len(clients.attempts),
        statuses=dict(statuses),
        runs=sum(runs.values()),
        late_copies=sum(known.repeated for known in servers),
        twice=','.join(twice) or '-',
        refused_but_run=','.join(refused) or '-',
    )
    print(
        f'{len(clients.attempts)} attempts, {dict(statuses)}, '
        f'{len(twice)} ran twice, {len(refused)} refused though they ran'
    )
    served = statuses[200]
    if served < len(clients.attempts) / 4:
        return 2
    return 1 if twice or refused else 0


if __name__ == '__main__':
    sys.exit(playing.play(main))
