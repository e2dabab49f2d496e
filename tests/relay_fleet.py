"""Simulate many instances that follow one store, some of them with faults."""

import asyncio
import enum
import gc
import random

import msgspec
import routing_parts
import virtual

from emulator import memory_store
from oatcrank import errors
from oatcrank.cluster import (
    change_relay,
    codec,
    member,
    members,
    peers,
    relay_choice,
    relay_follower,
    session,
    store_mirror,
    table_updater,
)
from oatcrank.platform import store_client
from oatcrank.routing import route_table, server_table

PREFIX = 'servers/'
LATENCY_S = 0.002
SETTLE_S = 3.0


class Fault(enum.Enum):
    """What is wrong with one instance."""

    none = 'nothing'
    frozen = 'it neither answers nor calls'
    silent = 'its calls to the store get no answer'
    turned_away = 'the store refuses its calls'
    one_way = 'its replies to instances are lost'
    slow = 'it replies to instances late'
    gone = 'its process has ended'
    old = 'it is of a build that relays nothing'
    peerless = 'it reaches no other instance'


SILENT_FAULTS = frozenset((Fault.frozen, Fault.silent))


class RegistrationCodec(codec.Codec):
    """Decode any value as a registration, and a removed key as its end."""

    def decode(self, item):
        server_id = item.key.removeprefix(PREFIX)
        if item.value is None:
            return codec.ServerRemoval(server_id, 'ended')
        return routing_parts.registration(0, server_id=server_id)


class FaultyStore(memory_store.MemoryClient):
    """Client of the store that counts its calls and may get no answers."""

    def __init__(self, shared, instance) -> None:
        super().__init__(shared)
        self._instance = instance
        self.calls_by_kind: dict[str, int] = {}
        self._silence = asyncio.Event()

    async def watch(self, after, wait_s):
        await self._begin('watch')
        watching = asyncio.ensure_future(super().watch(after, wait_s))
        silence = asyncio.ensure_future(self._silence.wait())
        try:
            await asyncio.wait(
                (watching, silence), return_when=asyncio.FIRST_COMPLETED
            )
            if not silence.done():
                return await watching
        finally:
            watching.cancel()
            silence.cancel()
        await asyncio.sleep(wait_s + store_client.WATCH_SLACK_S)
        raise errors.Unavailable('no answer')

    def silence_watch(self) -> None:
        """Let the watch that is waiting now never be answered."""
        self._silence.set()
        self._silence = asyncio.Event()

    async def read_all(self):
        await self._begin('range')
        return await super().read_all()

    async def write(self, transaction):
        await self._begin('txn')
        return await super().write(transaction)

    async def grant_lease(self, term_s):
        await self._begin('lease')
        return await super().grant_lease(term_s)

    async def renew_lease(self, lease_id, timeout_s):
        await self._begin('keep')
        await super().renew_lease(lease_id, timeout_s)

    async def _begin(self, kind) -> None:
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1
        await asyncio.sleep(LATENCY_S)
        if self._instance.fault in SILENT_FAULTS:
            await asyncio.sleep(1)
            raise errors.Unavailable('no connection')

    def _begin_call(self) -> None:
        fault = self._instance.fault
        if fault in SILENT_FAULTS | {Fault.turned_away}:
            raise errors.Unavailable('turned away')
        super()._begin_call()


class FleetClient(peers.Client):
    """Send messages of one instance to the others."""

    def __init__(self, fleet, instance) -> None:
        self._fleet = fleet
        self._instance = instance

    async def send(self, address, message_name, message, reply_type, timeout_s):
        receiver = self._fleet.by_address[address]
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(receiver, message, reply_type)
        except TimeoutError as error:
            raise peers.PeerUnreachable(message_name) from error

    async def _exchange(self, receiver, message, reply_type):
        await asyncio.sleep(LATENCY_S)
        if self._instance.fault in {Fault.frozen, Fault.peerless}:
            await asyncio.sleep(60)
        if receiver.fault in {Fault.frozen, Fault.peerless}:
            await asyncio.sleep(60)
        if receiver.fault is Fault.gone:
            raise peers.PeerGone('refused')
        if receiver.fault is Fault.old:
            raise peers.PeerUnreachable('status 404')
        reply = await receiver.relay.answer(message)
        if receiver.fault is Fault.one_way:
            await asyncio.sleep(60)
        if receiver.fault is Fault.slow:
            await asyncio.sleep(1)
        encoded = msgspec.json.encode(reply)
        await asyncio.sleep(LATENCY_S)
        return msgspec.json.decode(encoded, type=reply_type)


class Instance:
    """One instance's session, copy of the store and relay."""

    def __init__(self, fleet, number, domain, *, relayed=True) -> None:
        self.fault = Fault.none
        self.own = member.Member(
            instance_id=f'instance-{number}',
            started_ms=number,
            failure_domain=domain,
            region='here',
            caller_address=f'front-{number}',
            peer_address=f'peer-{number}',
            ready=True,
        )
        self.members = members.Members(self.own)
        self.servers = server_table.ServerTable()
        self.store = FaultyStore(fleet.shared, self)
        updater = table_updater.TableUpdater(
            RegistrationCodec(),
            route_table.RouteTable(),
            self.servers,
            self.members,
            {},
        )
        source = relay_follower.RelayFollower(
            self.members, FleetClient(fleet, self)
        )
        self.mirror = store_mirror.StoreMirror(
            self.store,
            updater,
            random.Random(number),
            source if relayed else None,
        )
        self.relay = change_relay.ChangeRelay(self.mirror, source)
        self.session = session.Session(self.store, self.members, self.mirror)
        self._tasks = []

    @property
    def is_relay(self) -> bool:
        known = [self.members.own, *self.members.others()]
        chosen = relay_choice.relays(known, self.own.failure_domain)
        return self.own.instance_id in {relay.instance_id for relay in chosen}

    def start(self) -> None:
        for work in (self.mirror.run, self.session.run):
            self._tasks.append(asyncio.ensure_future(work()))

    def end(self) -> None:
        """End the process without a planned stop."""
        self.fault = Fault.gone
        for task in self._tasks:
            task.cancel()

    def leave(self) -> None:
        """Register as not ready, as in a planned stop."""
        self.members.own = msgspec.structs.replace(
            self.members.own, ready=False
        )
        self.session.request_update()


class Fleet:
    """Instances in some failure domains, and the store that they follow."""

    def __init__(self, count, domains, seed=0, *, relayed=True) -> None:
        self.rng = random.Random(seed)
        self.shared = memory_store.MemoryStore()
        self.instances = [
            Instance(
                self, number, f'domain-{number % domains}', relayed=relayed
            )
            for number in range(count)
        ]
        self.by_address = {
            instance.own.peer_address: instance for instance in self.instances
        }

    def relays_of(self, domain) -> list[Instance]:
        return [
            instance
            for instance in self.instances
            if instance.own.failure_domain == domain and instance.is_relay
        ]

    def calls(self) -> dict[str, int]:
        """Return the calls to the store so far, by kind."""
        total: dict[str, int] = {}
        for instance in self.instances:
            for kind, count in instance.store.calls_by_kind.items():
                total[kind] = total.get(kind, 0) + count
        return total

    def register_server(self, name) -> None:
        self.shared.put(f'{PREFIX}{name}', b'x')

    async def seconds_until_known(self, name, instances, timeout_s) -> float:
        """Return how long it takes until the instances know a server."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while loop.time() < began_s + timeout_s:
            if all(name in instance.servers.by_id for instance in instances):
                return loop.time() - began_s
            await asyncio.sleep(0.01)
        raise AssertionError(f'not known after {timeout_s} s')


def run(scenario, count, domains, seed=0, *, relayed=True):
    """Run a scenario in virtual time once all instances are registered."""

    async def run_scenario():
        fleet = Fleet(count, domains, seed, relayed=relayed)
        for instance in fleet.instances:
            instance.start()
        await asyncio.sleep(SETTLE_S + fleet.rng.random())
        return await scenario(fleet)

    outcome = virtual.run(run_scenario())
    # Thousands of tasks form cycles with their fleet.  CPython 3.11 fails when
    # it frees them while it parses a module.
    gc.collect()
    return outcome
