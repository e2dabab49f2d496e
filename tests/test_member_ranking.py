"""Test that kept rankings of instances follow the members."""

import msgspec
import pytest
from test_pace_keepers import a_member

from oatcrank.cluster import members

COUNT = 9


def known_members():
    known = members.Members(a_member(0, 1))
    for number in range(COUNT):
        known.put(a_member(number, 1 + number))
    known.own = known.by_id['instance-0']
    return known


def ranked_ids(known, count=1):
    return [one.instance_id for one in known.ranked('key', count)]


@pytest.mark.parametrize('count', [1, members.MAX_RANKED, COUNT])
def test_all_that_are_asked_for_are_ranked(count):
    known = known_members()
    assert len(ranked_ids(known, count)) == count
    assert ranked_ids(known, count) == ranked_ids(known, COUNT)[:count]


@pytest.mark.parametrize('change', ['removed', 'not ready', 'own not ready'])
def test_an_instance_that_can_not_be_chosen_is_not_ranked(change):
    known = known_members()
    first = known.ranked('key', 1)[0]
    known.own = first
    unready = msgspec.structs.replace(first, ready=False)
    if change == 'removed':
        known.own = known.ranked('key', 2)[1]
        known.remove(first.instance_id)
    elif change == 'not ready':
        known.own = known.ranked('key', 2)[1]
        known.put(unready)
    else:
        known.own = unready
    assert first.instance_id not in ranked_ids(known, COUNT)
    assert len(ranked_ids(known)) == 1


def test_a_new_instance_is_ranked_at_once():
    known = known_members()
    known.ranked('key', 1)
    first_rank = members.rank('key', known.ranked('key', 1)[0].instance_id)
    number = next(
        number
        for number in range(COUNT, 10000)
        if members.rank('key', f'instance-{number}') > first_rank
    )
    known.put(a_member(number, 1))
    assert ranked_ids(known) == [f'instance-{number}']
