"""All workers of a service crash at once while a part crashes workers."""

import asyncio
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lab-3'))

import fleet as fleets  # noqa: E402
import prompt_worker  # noqa: E402
import store as stores  # noqa: E402
import stream_client  # noqa: E402
import workers  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
INSTANCES = 3
WORKERS = 6
PER_S = 80.0
CONTACT_S = 3.0
DEADLY_SHARE = 0.05
FIRST_PART, DEADLY_PART = 'aa01', 'dead'
# Seconds from the start of traffic.
DEADLY_FROM_S = 8.0
ALL_CRASH_S = 20.0
ALL_DOWN_S = 2.0
END_S = 45.0
MIN_REQUESTS = 20


class Case:
    """One run of the case."""

    def __init__(self):
        self.record = fleets.Record(HERE)
        self.store = stores.Store()
        self.number = 0
        # Times of sending, and whether the first attempt began.
        self.sound = []
        self.crash_times_s = []
        self.tasks = set()

    async def request(self, instance, sent_s, *, deadly):
        """Send one request, and record its outcome."""
        self.number += 1
        request_id = f'{self.number:016x}'
        second = DEADLY_PART if deadly else f'bb{random.randrange(40):02x}'
        attempt = stream_client.Attempt()
        headers = {
            'Host': 'host.example',
            'X-Request-Id': request_id,
            'X-Deadline-Ms': '4000',
            'X-Token-Usage': '200,40',
            'X-Prompt-Prefix': (
                f'{FIRST_PART}:55,{second}:37,{request_id}:108'
            ),
        }
        try:
            async with asyncio.timeout(4.5):
                await stream_client.stream(
                    instance.front, f'/draft/{request_id}', headers, attempt
                )
        except TimeoutError:
            pass
        kind = 'deadly' if deadly else 'sound'
        self.record.write(
            f'{kind} {request_id} sent_s={sent_s:.3f} '
            f'status={attempt.status} events={len(attempt.events)}'
        )
        if not deadly:
            self.sound.append((sent_s, bool(attempt.events)))

    async def traffic(self, instances):
        """Send requests at random times to the end."""
        began_s = time.monotonic()
        at_s = 0.0
        while at_s < END_S:
            deadly = at_s > DEADLY_FROM_S and random.random() < DEADLY_SHARE
            task = asyncio.ensure_future(
                self.request(random.choice(instances), at_s, deadly=deadly)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            at_s += random.expovariate(PER_S)
            await asyncio.sleep(began_s + at_s - time.monotonic())
        await asyncio.gather(*self.tasks)

    async def crash_all(self):
        """Crash all workers at one moment."""
        await asyncio.sleep(ALL_CRASH_S)
        if TROUBLE:
            for worker in self.workers:
                worker.crash(ALL_DOWN_S, 'all workers crash at once')

    async def run(self):
        """Run the case; return its exit status."""
        network = fleets.loopback_network()
        await self.store.start(f'{network}.1')
        self.workers = [
            prompt_worker.PromptWorker(
                self.store, f'draft-{number}', 'draft', self.record
            )
            for number in range(WORKERS)
        ]
        for worker in self.workers:
            worker.deadly_part = DEADLY_PART
            await worker.start(f'{network}.2')
        route = workers.route(
            'draft',
            '/draft/',
            'draft',
            'streaming',
            timeout_ms=4000,
            target_latency_ms=400,
        )
        self.store.put(
            'op/config', workers.configuration(1, [route], ['draft'])
        )
        fleet = fleets.Fleet(self.store.address, network, INSTANCES)
        try:
            await fleet.start()
            await asyncio.sleep(CONTACT_S)
            await asyncio.gather(
                self.traffic(fleet.instances), self.crash_all()
            )
        finally:
            await fleet.stop()
        return self.result()

    def result(self):
        """Record and print the result; return the exit status."""
        usual = [ok for at_s, ok in self.sound if at_s < DEADLY_FROM_S]
        # The fifth crash is over by then, and the requests still come.
        from_s = ALL_CRASH_S + 2 * CONTACT_S
        beside = [ok for at_s, ok in self.sound if at_s > from_s]
        text = (
            f'usual={sum(usual)}/{len(usual)} beside={sum(beside)}/'
            f'{len(beside)} crashes={sum(w.crashes for w in self.workers)}'
        )
        self.record.write(text)
        self.record.close()
        print(text)
        if min(len(usual), len(beside)) < MIN_REQUESTS or not sum(usual):
            return 2
        usual_share = sum(usual) / len(usual)
        return 1 if sum(beside) / len(beside) < usual_share / 2 else 0


sys.exit(fleets.run(Case().run))
