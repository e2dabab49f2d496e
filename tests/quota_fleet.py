"""Simulate instances that keep the quota of one organisation together."""

import asyncio
import enum
import random

from test_pace_keepers import a_member

from oatcrank.cluster import distributed_quotas, members, quota_owner
from oatcrank.forwarding import quotas
from oatcrank.organisations import organisation
from oatcrank.routing import route_table

LATENCY_S = 0.001
QUOTA = organisation.Quota(
    unit=organisation.QuotaUnit.tokens, per_s=20000, burst=20000
)
HOLDER = organisation.Organisation(name='clinic', quota=QUOTA)
TOLERANCE = quota_owner.QuotaTolerance(overage=0.1, slack=2000)


class Fault(enum.Enum):
    """What is wrong with one instance."""

    none = 'nothing'
    gone = 'its process has ended'
    cut_off = 'it reaches no other instance, but callers reach it'
    frozen = 'it neither receives nor sends'


class Network:
    """Handlers of messages by address, with the faults of instances."""

    def __init__(self) -> None:
        self.handler_by_address: dict[str, object] = {}
        self.fault_by_address: dict[str, Fault] = {}
        self.lossy: random.Random | None = None
        self.sent = 0

    def deliver(self, message, sender: str, receiver: str) -> None:
        """Deliver a message late, maybe twice or not at all."""
        self.sent += 1
        faults = {
            self.fault_by_address.get(address, Fault.none)
            for address in (sender, receiver)
        }
        copies = 1
        latency_s = LATENCY_S
        if self.lossy is not None:
            copies = self.lossy.choice((0, 2, *(1,) * 18))
            latency_s = self.lossy.choice((0.03, *(LATENCY_S,) * 19))
        handler = self.handler_by_address.get(receiver)
        if faults != {Fault.none} or handler is None:
            return
        for _ in range(copies):
            asyncio.get_running_loop().call_later(
                latency_s, handler, message, sender
            )


class Endpoint:
    """Stand-in for the datagram endpoint of one instance."""

    def __init__(self, address: str, network: Network) -> None:
        self._address = address
        self._network = network
        self._handler_by_type: dict[type, object] = {}
        network.handler_by_address[address] = self._receive

    def set_handler(self, message_type, handler) -> None:
        self._handler_by_type[message_type] = handler

    def send(self, message, address: str) -> None:
        self._network.deliver(message, self._address, address)

    def _receive(self, message, sender: str) -> None:
        if self._network.fault_by_address.get(self._address) is not Fault.gone:
            self._handler_by_type[type(message)](message, sender)


class Instance:
    """Quotas of one instance, with what it has let through and when."""

    def __init__(self, number: int, network: Network) -> None:
        self.own = a_member(number, 1000 + number)
        self.known = members.Members(self.own)
        self.address = self.own.datagram_address
        routes = route_table.RouteTable()
        routes.organisation_by_name = {HOLDER.name: HOLDER}
        self.quotas = distributed_quotas.DistributedQuotas(
            self.known,
            routes,
            Endpoint(self.address, network),
            random.Random(number),
            TOLERANCE,
        )


class Fleet:
    """Instances that serve the callers of one organisation."""

    def __init__(self, count: int) -> None:
        self.network = Network()
        self.instances = [
            Instance(number, self.network) for number in range(count)
        ]
        for instance in self.instances:
            self.tell_of(instance)
        self.sent: list[tuple[float, float]] = []
        self.sources: list[quotas.Source] = []
        self.refused: list[tuple[float, float]] = []

    def tell_of(self, instance: Instance) -> None:
        for other in self.instances:
            other.known.put(instance.own)

    def forget(self, instance: Instance) -> None:
        for other in self.instances:
            other.known.remove(instance.own.instance_id)

    def owner(self, rank: int = 0) -> Instance:
        chosen = self.instances[0].known.ranked(HOLDER.name, rank + 1)[rank]
        return next(
            instance
            for instance in self.instances
            if instance.own.instance_id == chosen.instance_id
        )

    def set_fault(self, instance: Instance, fault: Fault) -> None:
        self.network.fault_by_address[instance.address] = fault

    def fault_of(self, instance: Instance) -> Fault:
        return self.network.fault_by_address.get(instance.address, Fault.none)

    async def ask(self, instance: Instance, cost: float) -> bool:
        """Send a request of the organisation to an instance."""
        if self.fault_of(instance) in {Fault.gone, Fault.frozen}:
            return False
        decision = await instance.quotas.take(HOLDER, cost)
        if self.fault_of(instance) in {Fault.gone, Fault.frozen}:
            return False
        now_s = asyncio.get_running_loop().time()
        self.sources.append(decision.source)
        if decision.granted:
            self.sent.append((now_s + decision.wait_s, cost))
        else:
            self.refused.append((now_s, cost))
        return decision.granted

    async def load(
        self, seconds: float, per_s: float, rng: random.Random, cost=1000.0
    ) -> None:
        """Send units a second to the instances at random, spaced at random."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + seconds
        asking = set()
        while loop.time() < ends_s:
            drawn = cost * rng.choice((0.25, 0.5, 1, 1, 2))
            asking.add(
                asyncio.ensure_future(
                    self.ask(rng.choice(self.instances), drawn)
                )
            )
            await asyncio.sleep(rng.expovariate(per_s / cost))
        await asyncio.gather(*asking)

    def most_in(self, window_s: float) -> float:
        """Return the most units that were sent in any window."""
        events = sorted(self.sent)
        most = float(0)
        total = float(0)
        first = 0
        for sent_s, cost in events:
            total += cost
            while events[first][0] < sent_s - window_s:
                total -= events[first][1]
                first += 1
            most = max(most, total)
        return most


def allowed_in(window_s: float) -> float:
    """Return the units that all instances may send in a window."""
    owed = QUOTA.per_s * window_s + QUOTA.burst
    return owed * (1 + TOLERANCE.overage) + TOLERANCE.slack
