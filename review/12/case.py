"""All instances are restarted in turn while two software versions serve."""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lab-3'))

import fleet as fleets  # noqa: E402
import store as stores  # noqa: E402
import stream_client  # noqa: E402
import stream_worker  # noqa: E402
import workers  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
INSTANCES = 7
STREAMS = 90
CONTACT_S = 3.0
GRACE_S = 8.0
# As in the site file: all machines, one each second.
ROLL_GAP_S = 1.0
TRAFFIC_BEFORE_S = 12.0
TRAFFIC_AFTER_S = 12.0
DEADLINE_S = 12.0
TRIES = 3
MIN_TAKE_UPS = 12


class Case:
    """One run of the case."""

    def __init__(self):
        self.record = fleets.Record(HERE)
        self.store = stores.Store()
        self.ended = False
        self.number = 0
        self.new = self.begun = 0
        self.taken_up = self.went_on = 0
        self.mixed = 0
        self.disturbed_s = {}

    def in_touch(self, address, at_s):
        """Return whether a machine has had no stop or start for long."""
        since_s = at_s - self.disturbed_s.get(address, -CONTACT_S)
        return since_s > CONTACT_S

    def next_id(self):
        """Return an unused request id."""
        self.number += 1
        return f'{self.number:016x}'

    async def address(self, failed):
        """Return an address as a client chooses it, or None."""
        for _ in range(3):
            asked = random.choice(self.fleet.instances)
            found = await stream_client.resolve(asked.directory)
            usable = [one for one in found if one not in failed]
            if usable:
                return random.choice(usable)
        return None

    async def client(self):
        """Read one stream after the other."""
        while not self.ended:
            await self.one_stream()
            await asyncio.sleep(random.random() * 0.2)

    async def one_stream(self):
        """Read a stream, and take it up again if it breaks off."""
        address = await self.address(())
        if address is None:
            return
        began_s = time.monotonic()
        in_touch = self.in_touch(address, began_s)
        first_id = self.next_id()
        attempt = await self.attempt(address, first_id, began_s, {})
        self.record.write(
            f'new {first_id} at={address} in_touch={in_touch} '
            f'status={attempt.status} events={len(attempt.events)} '
            f'complete={attempt.complete}'
        )
        if in_touch:
            self.new += 1
            self.begun += bool(attempt.events)
        if attempt.events and not attempt.complete:
            await self.take_up(first_id, attempt.events, address, began_s)

    async def attempt(self, address, request_id, began_s, extra):
        """Make one client attempt."""
        left_s = DEADLINE_S - (time.monotonic() - began_s)
        attempt = stream_client.Attempt()
        headers = {
            'Host': 'host.example',
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(max(1, int(left_s * 1000))),
            **extra,
        }
        try:
            async with asyncio.timeout(max(0.1, left_s)):
                await stream_client.stream(
                    address, '/draft/1', headers, attempt
                )
        except TimeoutError:
            pass
        return attempt

    async def take_up(self, first_id, events, failed, began_s):
        """Take a broken stream up again, as the pages say."""
        judged = went_on = False
        failed_addresses = [failed]
        for _ in range(TRIES):
            if time.monotonic() - began_s > DEADLINE_S - 1:
                break
            address = await self.address(failed_addresses)
            if address is None:
                await asyncio.sleep(0.2)
                continue
            request_id = self.next_id()
            in_touch = self.in_touch(address, time.monotonic())
            attempt = await self.attempt(
                address,
                request_id,
                began_s,
                {'Resumes': first_id, 'Last-Event-Id': str(events[-1][0])},
            )
            self.record.write(
                f'take-up {request_id} of={first_id} after={events[-1][0]} '
                f'at={address} in_touch={in_touch} status={attempt.status} '
                f'events={len(attempt.events)} complete={attempt.complete}'
            )
            judged = judged or in_touch
            if attempt.events:
                went_on = True
                self.check_order(first_id, events, attempt.events)
                break
            await asyncio.sleep(min(attempt.retry_after_s, 2))
        if judged or went_on:
            self.taken_up += judged
            self.went_on += judged and went_on

    def check_order(self, first_id, events, further):
        """Count a stream with events of two versions."""
        versions = {version for _, version in (*events, *further)}
        if len(versions) > 1:
            self.mixed += 1
            self.record.write(f'two versions in {first_id}')

    async def roll(self):
        """Stop and start all instances, one after the other."""
        restarts = []
        for instance in self.fleet.instances:
            restarts.append(asyncio.ensure_future(self.restart(instance)))
            await asyncio.sleep(ROLL_GAP_S)
        await asyncio.gather(*restarts)

    async def restart(self, instance):
        """Stop an instance as the platform does, and start it again."""
        self.record.write(f'SIGTERM {instance.name} {instance.front}')
        self.disturbed_s[instance.front] = time.monotonic()
        instance.send_signal(signal.SIGTERM)
        ends_s = time.monotonic() + GRACE_S
        while not instance.has_ended and time.monotonic() < ends_s:
            self.disturbed_s[instance.front] = time.monotonic()
            await asyncio.sleep(0.05)
        await instance.end()
        await instance.start()
        self.disturbed_s[instance.front] = time.monotonic()
        self.record.write(f'started {instance.name} {instance.front}')

    async def run(self):
        """Run the case; return its exit status."""
        network = fleets.loopback_network()
        await self.store.start(f'{network}.1')
        for number, version in enumerate(('v1', 'v1', 'v2', 'v2')):
            worker = stream_worker.StreamWorker(
                self.store, f'draft-{number + 1}', 'draft', version=version
            )
            await worker.start(f'{network}.2')
        route = workers.route(
            'draft',
            '/draft/',
            'draft',
            'streaming',
            timeout_ms=12000,
            target_latency_ms=400,
            resumable=True,
        )
        self.store.put(
            'op/config', workers.configuration(1, [route], ['draft'])
        )
        self.fleet = fleets.Fleet(self.store.address, network, INSTANCES)
        try:
            await self.fleet.start()
            await asyncio.sleep(CONTACT_S)
            clients = [
                asyncio.ensure_future(self.client()) for _ in range(STREAMS)
            ]
            await asyncio.sleep(TRAFFIC_BEFORE_S)
            if TROUBLE:
                await self.roll()
            await asyncio.sleep(TRAFFIC_AFTER_S)
            self.ended = True
            for client in clients:
                client.cancel()
        finally:
            await self.fleet.stop()
        return self.result()

    def result(self):
        """Record and print the result; return the exit status."""
        text = (
            f'new={self.new} begun={self.begun} taken_up={self.taken_up} '
            f'went_on={self.went_on} two_versions={self.mixed}'
        )
        self.record.write(text)
        self.record.close()
        print(text)
        if not self.new:
            return 2
        if self.taken_up < MIN_TAKE_UPS:
            return 0
        begin_share = self.begun / self.new
        return 1 if self.went_on / self.taken_up < begin_share / 2 else 0


sys.exit(fleets.run(Case().run))
