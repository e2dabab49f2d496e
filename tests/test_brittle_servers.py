"""Test that brittle servers have to turn few requests away.

Load pattern: many instances have more requests than the servers of a service
have room for, and those fall over if they turn too many away in a second.
"""

import functools
import heapq
import itertools
import random

import pytest
import routing_parts

from oatcrank.routing import brittle_servers

SLOTS = 8
SERVERS = 6
RUN_S = 0.4
DELAY_S = 0.01
DOWN_S = 4.0
# From this long after the first statement servers let none wait.
CONTACT_S = 3.0
DURATION_S = 20.0
RETRY_S = 0.03
MAX_FALLS = 2 + SERVERS // 10
# Least share of what is served without regard to the statement.
MIN_SERVED_SHARE = 0.6


def is_ranked(instance: int, instances: int, server_id: str, count: int):
    """Return whether an instance is among the first ones for a server."""
    return (instance + int(server_id[-1])) % instances < count


class SimulatedServer:
    """Server that falls over if it turns too many requests away."""

    def __init__(self, rejections_per_s: float, slots: int) -> None:
        self.rejections_per_s = rejections_per_s
        self._slots = slots
        self.running = 0
        self.falls = 0
        self._down_until_s = 0.0
        self._rejected_s: list[float] = []

    def takes(self, now_s: float) -> bool:
        """Return whether a request is taken."""
        waiting = 0 if now_s >= CONTACT_S else SLOTS
        if now_s < self._down_until_s:
            return False
        if self.running < self._slots + waiting:
            self.running += 1
            return True
        self._rejected_s = [at for at in self._rejected_s if at > now_s - 1]
        self._rejected_s.append(now_s)
        if len(self._rejected_s) > self.rejections_per_s:
            self.falls += 1
            self._down_until_s = now_s + DOWN_S
            self._rejected_s.clear()
        return False


class Simulation:
    """Instances that send requests to servers, with delays."""

    def __init__(self, instances, rejections_per_s, load, *, guarded, slots):
        self.rng = random.Random(7)
        self.servers = [
            SimulatedServer(rejections_per_s, slots) for _ in range(SERVERS)
        ]
        self._guarded = guarded
        self._views = [
            routing_parts.servers(SERVERS, slots=SLOTS)
            for _ in range(instances)
        ]
        self._guards = [
            brittle_servers.BrittleServers(
                functools.partial(int, instances),
                functools.partial(is_ranked, number, instances),
                random.Random(number),
            )
            for number in range(instances)
        ]
        self._events: list = []
        self._numbers = itertools.count()
        self._per_s = load * SERVERS * SLOTS / RUN_S
        self.served = 0
        self.sent = 0

    def run(self) -> None:
        """Play until the end."""
        self._at(0, self._arrive)
        while self._events:
            now_s, _, act, arguments = heapq.heappop(self._events)
            act(now_s, *arguments)

    def _at(self, at_s: float, act, *arguments) -> None:
        heapq.heappush(
            self._events, (at_s, next(self._numbers), act, arguments)
        )

    def _arrive(self, now_s: float) -> None:
        if now_s < DURATION_S:
            self._at(now_s + self.rng.expovariate(self._per_s), self._arrive)
        self._send(now_s, self.rng.randrange(len(self._views)), 2)

    def _send(self, now_s: float, instance: int, tries: int) -> None:
        guard = self._guards[instance]
        usable = [
            view
            for view in self._views[instance]
            if view.is_usable(now_s)
            and (not self._guarded or guard.has_room(view, now_s))
        ]
        if not usable:
            return
        chosen = min(
            usable, key=lambda view: (view.load(now_s), self.rng.random())
        )
        chosen.in_flight += 1
        self.sent += 1
        self._at(
            now_s + DELAY_S * (0.5 + self.rng.random()),
            self._reach,
            instance,
            chosen,
            tries,
        )

    def _reach(self, now_s, instance, view, tries) -> None:
        target = self.servers[int(view.server_id[-1])]
        if target.takes(now_s):
            ends_s = now_s + self.rng.expovariate(1 / RUN_S)
            self._at(ends_s, self._end, instance, view, target)
            return
        self._at(now_s + DELAY_S, self._reject, instance, view, target, tries)

    def _end(self, now_s, instance, view, target) -> None:
        target.running -= 1
        self.served += 1
        self._at(now_s + DELAY_S, self._hear, instance, view, target)

    def _hear(self, now_s, instance, view, target) -> None:
        view.in_flight -= 1
        view.record_load(target.running, 0, now_s)
        self._guards[instance].record_answer(
            view, target.rejections_per_s, now_s, now_s
        )

    def _reject(self, now_s, instance, view, target, tries) -> None:
        view.in_flight -= 1
        view.record_load(target.running, 0, now_s)
        guard = self._guards[instance]
        guard.record_answer(view, target.rejections_per_s, now_s, now_s)
        guard.record_rejected(view, now_s)
        if tries > 1:
            self._at(now_s + RETRY_S, self._send, instance, tries - 1)


def simulate(instances, allowed, load, *, guarded=True, slots=SLOTS):
    """Return the simulation after its end."""
    simulation = Simulation(
        instances, allowed, load, guarded=guarded, slots=slots
    )
    simulation.run()
    return simulation


def falls(simulation) -> int:
    """Return how often servers have fallen over."""
    return sum(target.falls for target in simulation.servers)


@pytest.mark.parametrize('load', [0.6, 1.0, 2.0])
@pytest.mark.parametrize('allowed', [2, 5])
@pytest.mark.parametrize('instances', [3, 9, 20])
def test_few_servers_fall_over(instances, allowed, load):
    simulation = simulate(instances, allowed, load)
    unguarded = simulate(instances, allowed, load, guarded=False)
    assert falls(simulation) <= MAX_FALLS
    assert simulation.served >= MIN_SERVED_SHARE * unguarded.served


# Servers may have less room than slots, since requests differ in size.
@pytest.mark.parametrize('load', [0.6, 1.0, 2.0])
@pytest.mark.parametrize('instances', [3, 9])
def test_servers_with_less_room_than_slots(instances, load):
    simulation = simulate(instances, 5, load, slots=5)
    unguarded = simulate(instances, 5, load, guarded=False, slots=5)
    assert falls(simulation) <= MAX_FALLS < falls(unguarded)
    assert simulation.served >= unguarded.served


@pytest.mark.parametrize(
    ('failure', 'last', 'sent_s', 'has_room'),
    [
        ('a server that is brittle is not spared', 4.0, 102, False),
        ('a brittle time never ends', None, 102, True),
        ('a late answer ends a brittle time', None, 100.5, False),
    ],
)
def test_the_end_of_a_brittle_time(failure, last, sent_s, has_room):
    guard = brittle_servers.BrittleServers(
        lambda: 1, lambda *_: True, random.Random(1)
    )
    (target,) = routing_parts.servers(1, slots=1)
    target.in_flight = 3
    assert guard.has_room(target, 100)
    guard.record_answer(target, 4.0, 100, 100)
    guard.record_answer(target, last, sent_s, 103)
    assert guard.has_room(target, 103) is has_room, failure
