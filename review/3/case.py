"""After the store returns from an older copy, two instances send orders."""

import asyncio
import os
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab import (  # noqa: E402
    caller,
    deployment,
    drill,
    playing,
    record,
    server,
    store,
    system,
)

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
INSTANCES = 3
SERVERS = 6
MODELS = tuple(f'model-{number}' for number in range(1, 13))
LOADS_PER_S = 2.8
COPY_AGE_S = 8.0
# The holder of the order lease is stopped so long before the store goes away.
STOP_BEFORE_S = 1.5
AFTER_S = 25.0
RESTART_DELAY_S = 0.5
MEAN_GAP_S = 0.08
DEADLINE_S = 10.0
LEASE_TTL_S = system.BOUNDS['lease_ttl_ms'] / 1000
PATH = '/pufi791/2f'


async def _call(clients: caller.Caller, seed: int) -> None:
    """Request all models in random order until cancelled."""
    rng = random.Random(seed)
    sending = set()
    while True:
        task = asyncio.ensure_future(
            clients.send(
                'POST',
                PATH,
                caller.stream_headers(rng.choice(MODELS)),
                DEADLINE_S,
                b'{}',
            )
        )
        sending.add(task)
        task.add_done_callback(sending.discard)
        await asyncio.sleep(rng.expovariate(1 / MEAN_GAP_S))


def _holder(
    running: system.System, kept: store.Store
) -> system.Instance | None:
    """Return the instance that holds the order lease, by the store."""
    item = kept.contents.item_by_key.get('orders/holder')
    if item is None or item.value is None:
        return None
    return next(
        (
            known
            for known in running.instances
            if f'"{known.name}"'.encode() in item.value
        ),
        None,
    )


async def _restart(
    instance: system.Instance, seeds: list[str], written: record.Record
) -> None:
    """Stop an instance as planned, and start it again."""
    written.write('sigterm', instance=instance.name)
    instance.send_signal(signal.SIGTERM)
    await instance.wait_for_end(system.BOUNDS['grace_s'])
    instance.end()
    await asyncio.sleep(RESTART_DELAY_S)
    written.write('started_again', instance=instance.name)
    instance.start(seeds)


async def main() -> int:
    """Play the case; return the exit status."""
    written = record.Record(HERE / 'record.txt')
    kept = store.Store(written.write)
    await kept.start()
    servers = [
        server.Server(
            f'i-{number}',
            deployment.WORDBAY,
            system.ZONES[number % len(system.ZONES)],
            kept,
            written.write,
            slots=8,
            queue=16,
            run_s=0.2,
            events=4,
            models=(MODELS[number],),
        )
        for number in range(SERVERS)
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
            [deployment.model_service(8, MODELS, LOADS_PER_S)],
        ),
    )
    running = system.System(INSTANCES, kept.address)
    calling = None
    try:
        await running.start()
        clients = caller.Caller(running.instances, written.write)
        calling = asyncio.ensure_future(_call(clients, 7))
        await asyncio.sleep(6.0)
        older = kept.take_copy()
        await asyncio.sleep(COPY_AGE_S - STOP_BEFORE_S)
        holder = _holder(running, kept)
        if holder is None:
            raise RuntimeError('no instance holds the order lease')
        restarting = asyncio.ensure_future(
            _restart(holder, running.seeds, written)
        )
        await asyncio.sleep(STOP_BEFORE_S)
        if TROUBLE:
            await drill.return_from_copy(kept, older, servers, written)
        await restarting
        await asyncio.sleep(AFTER_S)
        return _judge(clients, servers, written)
    finally:
        if calling is not None:
            calling.cancel()
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
    lower = 0
    turns = 0
    for known in servers:
        highest = 0
        orders = sorted(known.orders, key=lambda order: order['at_s'])
        for number, order in enumerate(orders):
            lower += order['fencing_token'] < highest
            highest = max(highest, order['fencing_token'])
            turns += _is_turn(orders[: number + 1])
    statuses = {}
    for attempt in clients.attempts:
        statuses[attempt.status] = statuses.get(attempt.status, 0) + 1
    holders = {order['holder'] for known in servers for order in known.orders}
    written.write(
        'result',
        attempts=len(clients.attempts),
        statuses=statuses,
        orders=sum(len(known.orders) for known in servers),
        holders=','.join(sorted(holders)),
        lower_tokens=lower,
        turns=turns,
    )
    print(
        f'{sum(len(known.orders) for known in servers)} orders of '
        f'{len(holders)} holders; {lower} under a lower token after a higher '
        f'one, {turns} after another holder had taken a turn'
    )
    if len(holders) < 2:
        return 2
    return 1 if lower or turns else 0


def _is_turn(orders: list[dict]) -> bool:
    """Return whether the last order's holder ordered before another one did.

    Both its orders lie within the lease time.
    """
    last = orders[-1]
    others = False
    for order in reversed(orders[:-1]):
        if last['at_s'] - order['at_s'] > LEASE_TTL_S:
            return False
        if order['holder'] != last['holder']:
            others = True
        elif others:
            return True
    return False


if __name__ == '__main__':
    sys.exit(playing.play(main))
