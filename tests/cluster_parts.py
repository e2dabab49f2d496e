"""Run the order leases of several instances over an in-memory store."""

import asyncio
import random

from emulator import memory_store
from oatcrank.cluster import (
    codec,
    member,
    members,
    order_lease,
    peer_messages,
    peers,
    session,
    store,
    store_mirror,
    table_updater,
)
from oatcrank.orders import boot_clock, order, order_coordinator
from oatcrank.routing import route_table, server_table


class NoCodec(codec.Codec):
    """Codec that decodes no keys."""

    def decode(self, item: store.Item) -> codec.DecodedItem:
        """Return None for every item."""


class NoSender(order.OrderSender):
    """Order sender whose orders reach no server."""

    def listen_for_limits(self, listener) -> None:
        """Ignore limits."""

    def attach(self, servers) -> None:
        """Report nothing of servers."""

    async def send(self, registration, new_order, may_send):
        return order.Outcome.unsent

    async def report(self, registration):
        """Return no report."""


class PeerNetwork:
    """In-process network for peer messages that can cut off instances."""

    def __init__(self) -> None:
        self.instance_by_address: dict[str, Member] = {}
        self.cut: set[str] = set()
        self.frozen: set[str] = set()


class NetworkClient(peers.Client):
    """Peer client for instances in the same process."""

    def __init__(self, network: PeerNetwork, own: str) -> None:
        self._network = network
        self._own = own

    async def send(self, address, message_name, message, reply_type, timeout_s):
        peer = self._network.instance_by_address.get(address)
        if peer is None:
            raise peers.PeerGone(message_name)
        if {address, self._own} & (self._network.cut | self._network.frozen):
            await asyncio.sleep(timeout_s)
            raise peers.PeerUnreachable(message_name)
        if message_name == 'stop':
            return peer.order_lease.stop_for_successor(message)
        if message_name == 'vouch':
            return peer.order_lease.confirm_holder(message)
        peer.order_lease.record_holder(message)
        return peer_messages.Acknowledgement()


class Member:
    """One instance's components that decide whether it may send orders."""

    def __init__(
        self,
        name: str,
        client: store.Store,
        network: PeerNetwork,
        number: int,
        lease_duration_s: float = 0.3,
    ) -> None:
        self.client = client
        own = member.Member(
            instance_id=name,
            started_ms=number,
            failure_domain='north',
            region='here',
            caller_address=f'{name}:1',
            peer_address=f'{name}:2',
            ready=True,
            datagram_address=f'{name}:3',
        )
        self.members = members.Members(own)
        self.servers = server_table.ServerTable()
        self.table_updater = table_updater.TableUpdater(
            NoCodec(),
            route_table.RouteTable(),
            self.servers,
            self.members,
            {},
        )
        rng = random.Random(number)
        self.mirror = store_mirror.StoreMirror(
            self.client, self.table_updater, rng
        )
        self.session = session.Session(self.client, self.members, self.mirror)
        self.coordinator = order_coordinator.OrderCoordinator(
            instance_id=name,
            servers=self.servers,
            routes=route_table.RouteTable(),
            sender=NoSender(),
        )
        self.order_lease = order_lease.OrderLease(
            store_client=self.client,
            mirror=self.mirror,
            members=self.members,
            session=self.session,
            coordinator=self.coordinator,
            lease_duration_s=lease_duration_s,
            peer_client=NetworkClient(network, own.peer_address),
        )
        self.network = network
        network.instance_by_address[own.peer_address] = self
        self.address = own.peer_address
        self._tasks = []

    def start(self) -> None:
        for work in (self.mirror.run, self.session.run, self.order_lease.run):
            self._tasks.append(asyncio.ensure_future(work()))

    async def kill(self) -> None:
        """Stop the instance without notifying its peers."""
        self.network.instance_by_address.pop(self.address, None)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.coordinator.stop()

    def record_order(self) -> None:
        """Record that an order is sent now."""
        self.coordinator._dispatcher.last_order_s = boot_clock.now()

    @property
    def may_order(self) -> bool:
        term = self.coordinator.term
        return term is not None and term.may_order(
            boot_clock.now(),
        )


class Fleet:
    """A set of instances of which at most one may send orders at a time."""

    def __init__(
        self, count: int, new_client=None, lease_duration_s: float = 0.3
    ) -> None:
        self._lease_duration_s = lease_duration_s
        self.shared = memory_store.MemoryStore()
        self.network = PeerNetwork()
        self.new_client = new_client or (
            lambda: memory_store.MemoryClient(self.shared)
        )
        self.members = [
            self._new_member(f'instance-{number}', number)
            for number in range(count)
        ]
        self.holders: list[str] = []

    def start(self) -> None:
        for instance in self.members:
            instance.start()

    async def stop(self) -> None:
        for instance in self.members:
            await instance.kill()

    def start_again(self, ended: Member) -> Member:
        """Start a new process on the machine of one that has ended."""
        own = ended.members.own
        started = self._new_member(own.instance_id, own.started_ms + 100)
        self.members[self.members.index(ended)] = started
        started.start()
        return started

    def _new_member(self, name: str, number: int) -> Member:
        return Member(
            name,
            self.new_client(),
            self.network,
            number,
            self._lease_duration_s,
        )

    def holder(self) -> Member | None:
        """Return the instance that may send orders; fail if two may."""
        holders = [instance for instance in self.members if instance.may_order]
        assert len(holders) <= 1, 'two instances may send orders'
        if holders:
            name = holders[0].members.own.instance_id
            if not self.holders or self.holders[-1] != name:
                self.holders.append(name)
            return holders[0]
        return None

    def non_holder(self) -> Member:
        """Return an instance that doesn't hold the lease."""
        return next(
            instance for instance in self.members if not instance.may_order
        )

    async def wait_for_holder(
        self, timeout_s: float, other_than=None
    ) -> Member:
        """Wait for a holder, and check for a second one meanwhile."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + timeout_s
        while loop.time() < ends_s:
            holder = self.holder()
            if holder is not None and holder is not other_than:
                return holder
            await asyncio.sleep(0.01)
        raise AssertionError('no instance may send orders')

    async def observe(self, seconds: float) -> float:
        """Return for how many seconds an instance could send orders."""
        loop = asyncio.get_running_loop()
        held_s = 0.0
        ends_s = loop.time() + seconds
        while loop.time() < ends_s:
            if self.holder() is not None:
                held_s += 0.01
            await asyncio.sleep(0.01)
        return held_s
