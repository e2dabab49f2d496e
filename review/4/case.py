"""A request on a kept connection is cut off by a planned stop."""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time

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
INSTANCES = 3
SERVERS = 3
CLIENTS = 120
# One client in so many keeps an answer of /resolve three times as long.
PATIENT_ONE_IN = 4
DURATION_S = 80.0
EVENT_GAP_S = 0.08
MEAN_EVENTS = 56
MAX_EVENTS = 190
DEADLINE_S = 25.0
GRACE_S = system.BOUNDS['grace_s']
# A request that is sent no later may still be cut.
EXCUSED_S = 3.0
PATH = '/pufi791/2f'


def _draw_events(rng: random.Random) -> int:
    """Return a number of events, spread as on the deployment's sheet."""
    drawn = rng.lognormvariate(0, 0.7) * MEAN_EVENTS / 1.28
    return max(1, min(MAX_EVENTS, round(drawn)))


async def _roll(
    running: system.System, written: record.Record, ends_s: float
) -> dict[str, list[float]]:
    """Stop and start the instances in turn; return when each was stopped."""
    stopped_s_by_address: dict[str, list[float]] = {}
    while True:
        for instance in running.instances:
            if time.monotonic() + GRACE_S + 4 > ends_s:
                return stopped_s_by_address
            written.write('sigterm', instance=instance.name)
            address = f'127.0.0.1:{instance.front}'
            stopped_s_by_address.setdefault(address, []).append(
                time.monotonic()
            )
            instance.send_signal(signal.SIGTERM)
            await instance.wait_for_end(GRACE_S)
            instance.end()
            written.write('ended', instance=instance.name)
            instance.start(running.seeds)
            await running.wait_until_ready(instance)
            await asyncio.sleep(1.0)


async def main() -> int:
    """Play the case; return the exit status."""
    written = record.Record(HERE / 'record.txt')
    kept = store.Store(written.write)
    await kept.start()
    rng = random.Random(11)
    servers = [
        server.Server(
            f'i-{number}',
            deployment.WORDBAY,
            system.ZONES[number],
            kept,
            written.write,
            slots=64,
            queue=134,
            run_s=MEAN_EVENTS * EVENT_GAP_S,
            events=MEAN_EVENTS,
            models=deployment.MODELS[:1],
        )
        for number in range(SERVERS)
    ]
    for started in servers:
        started.draw_events = lambda: _draw_events(rng)
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
                    timeout_ms=25000,
                    gap_target_ms=150,
                    sticky=True,
                )
            ],
            [deployment.model_service(64)],
        ),
    )
    running = system.System(INSTANCES, kept.address)
    try:
        await running.start()
        await asyncio.sleep(3.0)
        ends_s = time.monotonic() + DURATION_S
        clients = [
            caller.KeepAliveCaller(
                f'{number:02d}',
                running.instances,
                written.write,
                ttl_factor=1 if number % PATIENT_ONE_IN else 3,
                seed=number,
            )
            for number in range(CLIENTS)
        ]
        calling = [
            asyncio.ensure_future(
                client.run(
                    PATH,
                    caller.stream_headers(deployment.MODELS[0]),
                    DEADLINE_S,
                    ends_s,
                )
            )
            for client in clients
        ]
        stopped = await _roll(running, written, ends_s) if TROUBLE else {}
        await asyncio.gather(*calling)
        attempts = [made for client in clients for made in client.attempts]
        return _judge(attempts, servers, stopped, written)
    finally:
        running.end()
        for started in servers:
            started.stop()
        kept.stop()
        written.close()


def _judge(
    attempts: list[caller.Attempt],
    servers: list[server.Server],
    stopped: dict[str, list[float]],
    written: record.Record,
) -> int:
    passed_on = {run.request_id for known in servers for run in known.runs}
    lost = []
    excused = 0
    for made in attempts:
        if made.whole or made.request_id not in passed_on:
            continue
        after_s = _after_stop_s(made, stopped)
        if after_s is None or after_s <= EXCUSED_S:
            excused += 1
            continue
        lost.append(made.request_id)
        written.write(
            'lost',
            request=made.request_id,
            sent_after_sigterm_s=round(after_s, 2),
            cut_after_s=round(made.ended_s - made.sent_s, 2),
        )
    whole = sum(made.whole for made in attempts)
    written.write(
        'result',
        attempts=len(attempts),
        whole=whole,
        cut_but_excused=excused,
        lost=','.join(lost) or '-',
    )
    print(
        f'{len(attempts)} attempts, {whole} whole answers, {excused} cut but '
        f'excused, {len(lost)} lost'
    )
    if whole < len(attempts) / 2:
        return 2
    return 1 if lost or (excused and not TROUBLE) else 0


def _after_stop_s(
    made: caller.Attempt, stopped: dict[str, list[float]]
) -> float | None:
    """Return how long after its instance's SIGTERM a request was sent."""
    for stopped_s in stopped.get(made.address, []):
        if 0 <= made.sent_s - stopped_s <= GRACE_S + 1:
            return made.sent_s - stopped_s
    return None


if __name__ == '__main__':
    sys.exit(playing.play(main))
