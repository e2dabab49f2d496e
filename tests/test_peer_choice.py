"""Test which instances are asked for a request."""

import random

import pytest

from oatcrank.routing import peer_choice

STEP_S = 0.2
REQUESTS = 200


def served(instances: int, cut: int) -> float:
    """Return the share of requests that an instance sends on with success."""
    choice = peer_choice.PeerChoice(random.Random(1))
    addresses = [str(number) for number in range(instances - 1)]
    count = 0
    for number in range(REQUESTS):
        now_s = 100 + number * STEP_S
        for address in choice.choose('route', addresses, now_s):
            if int(address) >= cut - 1:
                choice.record_answered('route', address, now_s)
                count += 1
                break
            choice.record_refused('route', address, now_s)
    return count / REQUESTS


@pytest.mark.parametrize(
    ('instances', 'cut'), [(3, 2), (9, 6), (9, 8), (30, 20), (30, 27)]
)
def test_requests_find_the_few_instances_that_reach_servers(instances, cut):
    assert served(instances, cut) >= 0.9


def test_requests_are_spread_while_most_instances_reach_servers():
    choice = peer_choice.PeerChoice(random.Random(1))
    addresses = [str(number) for number in range(10)]
    counts = dict.fromkeys(addresses, 0)
    for number in range(1000):
        address = choice.choose('route', addresses, number * STEP_S)[0]
        choice.record_answered('route', address, number * STEP_S)
        counts[address] += 1
    assert max(counts.values()) <= 2 * min(counts.values())


def test_a_refusal_holds_for_its_route_only():
    choice = peer_choice.PeerChoice(random.Random(1))
    choice.record_refused('route', 'a', 100)
    assert not choice.choose('route', ['a'], 100.1)
    assert choice.choose('other', ['a'], 100.1)
    assert choice.choose('route', ['a'], 101.1)


def test_an_instance_that_has_ended_is_not_asked_on_any_route():
    choice = peer_choice.PeerChoice(random.Random(1))
    choice.record_failed('a', 100)
    assert choice.choose('route', ['a', 'b'], 100.1) == ['b']
