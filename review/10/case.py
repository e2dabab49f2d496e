"""The holder of orders is killed, and its successor is stopped soon after."""

import asyncio
import itertools
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'lab-2'))

import lab as labs

LEASE_TTL_S = 3.0
# A process that was killed starts again after this time.
RESTART_S = 1.9
# The successor is stopped this long after its first order.
STOP_AFTER_S = 0.02
SETTLE_S = 6.0
# The stop of a process, and a little longer.
ROUND_S = 8.0
ROUNDS = 5
ADAPTERS = 12
MAX_ADAPTERS = 4
ENGINE = {
    'weights_mb': 83000.0,
    'max_adapters': MAX_ADAPTERS,
    'loads_per_s': 2.8,
    'models': [
        {
            'name': 'model-1',
            'weights_mb': 34300.0,
            'load_s': 1.2,
            'adapters': ADAPTERS,
            'adapter_mb': 40.0,
        }
    ],
}
INSTANCES = {'edge-a-1': 'zone-a', 'edge-b-1': 'zone-b'}


async def ask(lab: labs.Lab) -> None:
    """Request one adapter after the other at all instances, until cancelled."""
    running: set[asyncio.Task] = set()
    for number in itertools.count():
        adapter = f'a{number % ADAPTERS + 1}'
        for instance in lab.instances:
            if instance.is_running:
                task = asyncio.ensure_future(
                    lab.client.request(
                        instance,
                        '/draft/1',
                        X_Model=f'model-1/{adapter}',
                        X_Token_Usage='64,8',
                        X_Prompt_Prefix=f'{number:08x}:64',
                    )
                )
                running.add(task)
                task.add_done_callback(running.discard)
        await asyncio.sleep(0.08)


def holder(worker: labs.Worker) -> str | None:
    """Return the machine that gave the last order."""
    return worker.orders[-1][1] if worker.orders else None


async def disrupt(lab: labs.Lab, worker: labs.Worker) -> None:
    """Kill the holder and start it again; stop its successor and start it."""
    by_name = {instance.name: instance for instance in lab.instances}
    first = by_name[holder(worker) or '']
    first.send(signal.SIGKILL)
    await first.wait_end(2)
    starting = asyncio.ensure_future(start_later(first))
    ends_s = lab.record.now_s() + ROUND_S
    while holder(worker) == first.name and lab.record.now_s() < ends_s:  # noqa: ASYNC110, E501
        await asyncio.sleep(0.005)
    if holder(worker) == first.name:
        # No other machine has become the holder.
        await starting
        return
    second = by_name[holder(worker) or '']
    await asyncio.sleep(STOP_AFTER_S)
    second.send(signal.SIGTERM)
    await starting
    await second.wait_end(ROUND_S + 1)
    await second.start()
    await second.wait_ready()
    await asyncio.sleep(labs.BOUNDS['lease_ttl_ms'] / 1000)


async def start_later(instance: labs.Instance) -> None:
    """Start a process again that was killed."""
    await asyncio.sleep(RESTART_S)
    await instance.start()


async def play(lab: labs.Lab) -> list[str]:
    """Return how the rule was broken."""
    worker = await lab.add_worker('i-words-1', 'words')
    worker.models = {'model-1': set()}
    worker.register()
    routes = [
        labs.route(
            'draft', 'words', 'streaming', sticky=True, gap_target_ms=150
        )
    ]
    lab.configure(3, routes, [labs.backend('words', ENGINE)])
    await lab.start_instances(INSTANCES)
    asking = asyncio.ensure_future(ask(lab))
    await asyncio.sleep(SETTLE_S)
    for _ in range(ROUNDS):
        if labs.trouble():
            await disrupt(lab, worker)
        else:
            await asyncio.sleep(ROUND_S)
        if turns(worker.orders):
            break
    asking.cancel()
    return turns(worker.orders)


def turns(orders: list[tuple[float, str, int, int]]) -> list[str]:
    """Return where a holder orders again after another one, too soon."""
    accepted = [order for order in orders if order[3] in {200, 202}]
    broken: list[str] = []
    last_by_holder: dict[str, float] = {}
    previous = None
    for at_s, name, fence, _ in accepted:
        last_s = last_by_holder.get(name)
        if previous not in {None, name} and last_s is not None:
            if at_s - last_s <= LEASE_TTL_S:
                broken.append(
                    f'{name} orders at {last_s:.3f} s, then {previous}, then '
                    f'{name} again at {at_s:.3f} s (fence {fence}), '
                    f'{at_s - last_s:.3f} s later'
                )
        last_by_holder[name] = at_s
        previous = name
    return broken


labs.main(__file__, play)
