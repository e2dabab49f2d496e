"""One answer of the store to a watch is lost; a configuration follows later."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'lab-2'))

import lab as labs

CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
MARGIN_S = 0.2
# The site plays platform_lost with at most this share for this time.
MAX_LOST_SHARE = 0.35
LOST_FOR_S = 4.5
ASKED_S = 6.0
INTERVAL_S = 0.25
INSTANCES = {
    'edge-a-1': 'zone-a',
    'edge-a-2': 'zone-a',
    'edge-b-1': 'zone-b',
    'edge-b-2': 'zone-b',
}


def configure(lab: labs.Lab, version: int, service: str, *extra: str) -> float:
    """Write a configuration whose route leads to a service."""
    routes = [labs.route('book', service, 'idempotent')]
    routes.extend(labs.route(name, service, 'idempotent') for name in extra)
    backends = [labs.backend('desk-old'), labs.backend('desk-new')]
    return lab.configure(version, routes, backends)


async def play(lab: labs.Lab) -> list[str]:
    """Return how the rule was broken."""
    record = lab.record
    old = await lab.add_worker('i-old-1', 'desk-old')
    new = await lab.add_worker('i-new-1', 'desk-new')
    for worker in (old, new):
        worker.register()
    configure(lab, 3, 'desk-old')
    instances = await lab.start_instances(INSTANCES)
    await asyncio.sleep(3)
    for instance in instances:
        await lab.client.request(instance, '/book/1', method='GET')
    # Ordinary changes of the store, so that a new watch has begun.
    spare = await lab.add_worker('i-old-2', 'desk-old')
    spare.register()
    await asyncio.sleep(1.5)
    if labs.trouble():
        lose_one_answer(lab, instances[0])
    another = await lab.add_worker('i-old-3', 'desk-old')
    another.register()
    ended_s = record.add('a worker has registered; from here no disruption')
    await asyncio.sleep(CONTACT_S + MARGIN_S)
    record_share(lab, ended_s)
    acked_s = configure(lab, 8, 'desk-new', 'added')
    record.add(
        f'all machines are in touch: {acked_s - ended_s:.2f} s without '
        'disruption'
    )
    await asyncio.sleep(CONFIG_APPLY_S + MARGIN_S)
    return await ask(lab, instances, acked_s)


def lose_one_answer(lab: labs.Lab, instance: labs.Instance) -> None:
    """Lose the next answer of the store to a watch of one instance."""
    lost: list[str] = []

    def loses(address: str) -> bool:
        if lost or address != instance.store_address:
            return False
        lost.append(address)
        lab.record.add(f'the answer to a watch of {instance.name} is lost')
        return True

    lab.store.loses_watch_answer = loses


def record_share(lab: labs.Lab, lost_s: float) -> None:
    """Write down that the loss is inside what the site plays."""
    began_s = lost_s - LOST_FOR_S / 2
    calls = sum(
        began_s <= called_s <= began_s + LOST_FOR_S
        for called_s in lab.store.call_times_s
    )
    lost = int(labs.trouble())
    lab.record.add(
        f'{lost} of {calls} answers of the store lost in {LOST_FOR_S} s'
    )
    if lost > MAX_LOST_SHARE * calls:
        raise RuntimeError('the loss is larger than the site plays it')


async def ask(
    lab: labs.Lab, instances: list[labs.Instance], acked_s: float
) -> list[str]:
    """Send requests to all instances; return those that are out of date."""
    broken: list[str] = []
    ends_s = lab.record.now_s() + ASKED_S
    while lab.record.now_s() < ends_s:
        for instance in instances:
            for path in ('/book/1', '/added/1'):
                request_id, status = await lab.client.request(
                    instance, path, method='GET'
                )
                after_s = lab.client.sent_s[request_id] - acked_s
                ran = [
                    worker.service
                    for worker in lab.workers
                    if request_id in {run for _, run in worker.runs}
                ]
                if status == 404 or 'desk-old' in ran:
                    broken.append(
                        f'{request_id} {path} at {instance.name}, sent '
                        f'{after_s:.2f} s after the acknowledgement: '
                        f'{status}, run by {ran or "none"}'
                    )
        await asyncio.sleep(INTERVAL_S)
    return broken


labs.main(__file__, play)
