"""Put instances' order turns together over a shared store in memory."""

import asyncio
import random

from emulator import memory_store
from oatcrank.cluster import (
    catalogue,
    codec,
    member,
    members,
    mirror,
    order_turn,
    peer_messages,
    peers,
    session,
    store,
)
from oatcrank.orders import boot_clock, order, order_desk
from oatcrank.routing import route_table, server_table


class NoCodec(codec.Codec):
    """Know no keys of others."""

    def read(self, item: store.Item) -> codec.Meaning:
        """Say nothing."""


class NoSender(order.OrderSender):
    """Reach no server."""

    async def send(self, listed, one, may_send):
        return order.Outcome.unsent

    async def report(self, listed):
        """Say nothing."""


class Wires:
    """Carry peer messages between instances, unless they are cut."""

    def __init__(self) -> None:
        self.instance_by_address: dict[str, Member] = {}
        self.cut: set[str] = set()
        self.frozen: set[str] = set()


class WiredClient(peers.Client):
    """Ask other instances in the same process."""

    def __init__(self, wires: Wires, own: str) -> None:
        self._wires = wires
        self._own = own

    async def ask(self, address, word, question, expected, within_s):
        there = self._wires.instance_by_address.get(address)
        if there is None:
            raise peers.PeerGone(word)
        if {address, self._own} & (self._wires.cut | self._wires.frozen):
            await asyncio.sleep(within_s)
            raise peers.PeerUnreachable(word)
        if word == 'stop':
            return there.turn.stop(question)
        if word == 'vouch':
            return there.turn.vouch(question)
        there.turn.take_told(question)
        return peer_messages.Done()


class Member:
    """Hold one instance's parts that decide who gives orders."""

    def __init__(self, name: str, shared, wires: Wires, number: int) -> None:
        self.client = memory_store.MemoryClient(shared)
        own = member.Member(
            instance_id=name,
            started_ms=number,
            failure_domain='north',
            region='here',
            front=f'{name}:1',
            peer=f'{name}:2',
            ready=True,
        )
        self.members = members.Members(own)
        self.servers = server_table.ServerTable()
        self.catalogue = catalogue.Catalogue(
            NoCodec(),
            route_table.RouteTable(),
            self.servers,
            self.members,
        )
        dice = random.Random(number)
        self.mirror = mirror.Mirror(self.client, self.catalogue, dice)
        self.session = session.Session(self.client, self.members, self.mirror)
        self.desk = order_desk.OrderDesk(
            instance_id=name,
            servers=self.servers,
            routes=route_table.RouteTable(),
            sender=NoSender(),
        )
        self.turn = order_turn.OrderTurn(
            kept_in=self.client,
            seen=self.mirror,
            known=self.members,
            own_session=self.session,
            desk=self.desk,
            turn_s=0.3,
            client=WiredClient(wires, own.peer),
        )
        self.wires = wires
        wires.instance_by_address[own.peer] = self
        self.address = own.peer
        self._tasks = []

    def start(self) -> None:
        for work in (self.mirror.run, self.session.run, self.turn.run):
            self._tasks.append(asyncio.ensure_future(work()))

    async def kill(self) -> None:
        """End it without a word."""
        self.wires.instance_by_address.pop(self.address, None)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.desk.stop()

    @property
    def may_order(self) -> bool:
        term = self.desk.term
        return term is not None and term.may_order(
            boot_clock.now(),
        )


class Fleet:
    """Hold instances and check that never two may give orders."""

    def __init__(self, count: int) -> None:
        self.shared = memory_store.MemoryStore()
        self.wires = Wires()
        self.members = [
            Member(f'instance-{number}', self.shared, self.wires, number)
            for number in range(count)
        ]
        self.holders: list[str] = []

    def start(self) -> None:
        for one in self.members:
            one.start()

    async def stop(self) -> None:
        for one in self.members:
            await one.kill()

    def holder(self) -> Member | None:
        """Return who may give orders now, and fail if two may."""
        holders = [one for one in self.members if one.may_order]
        assert len(holders) <= 1, 'two instances may give orders'
        if holders:
            name = holders[0].members.own.instance_id
            if not self.holders or self.holders[-1] != name:
                self.holders.append(name)
            return holders[0]
        return None

    def a_successor(self) -> Member:
        """Return an instance that doesn't hold the lease."""
        return next(one for one in self.members if not one.may_order)

    async def until_holder(self, within_s: float, other_than=None) -> Member:
        """Wait for a holder, checking all the while."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + within_s
        while loop.time() < ends_s:
            found = self.holder()
            if found is not None and found is not other_than:
                return found
            await asyncio.sleep(0.01)
        raise AssertionError('nobody may give orders')

    async def watch(self, seconds: float) -> float:
        """Return for how long somebody may give orders."""
        loop = asyncio.get_running_loop()
        held_s = 0.0
        ends_s = loop.time() + seconds
        while loop.time() < ends_s:
            if self.holder() is not None:
                held_s += 0.01
            await asyncio.sleep(0.01)
        return held_s
