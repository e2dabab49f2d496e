"""Replay loads and partial failures against the choice of a server."""

import collections
import random

import pytest
import routing_parts

from oatcrank.routing import need, server_selection, server_table

PLAIN = need.Need(routing_parts.SERVICE)
WORDS = need.Need(routing_parts.SERVICE, 'words-large')
ADAPTED = need.Need(routing_parts.SERVICE, 'words-large', 'a1')


def chooser(domain='north'):
    return server_selection.ServerSelector(domain, random.Random(7))


def wish(wanted=PLAIN, **more):
    return server_selection.SelectionCriteria(wanted=wanted, **more)


def test_a_burst_is_spread_before_any_server_tells_of_it():
    servers = routing_parts.servers(3)
    chosen = chooser()
    for _ in range(60):
        chosen.choose(servers, wish(), 0.0).in_flight += 1
    assert max(one.in_flight for one in servers) <= 24


def test_a_server_that_fails_in_part_loses_its_share_but_for_trials():
    servers = routing_parts.servers(3)
    chosen = chooser()
    counts = collections.Counter()
    for step in range(900):
        now_s = step * 0.01
        one = chosen.choose(servers, wish(), now_s)
        grey = one is servers[0]
        one.note_outcome(now_s, failed=grey and step % 2 == 0)
        if step >= 300:
            counts[one.server_id] += 1
    assert 0 < counts['server-0'] < 90


def test_when_all_fail_alike_none_is_shut_out():
    servers = routing_parts.servers(3)
    chosen = chooser()
    counts = collections.Counter()
    for step in range(600):
        now_s = step * 0.01
        one = chosen.choose(servers, wish(), now_s)
        one.note_outcome(now_s, failed=step % 2 == 0)
        counts[one.server_id] += 1
    assert min(counts.values()) > 100


@pytest.mark.parametrize(
    ('wanted', 'models', 'expected'),
    [
        (PLAIN, {}, True),
        (WORDS, {}, False),
        (WORDS, {'words-large': ()}, True),
        (ADAPTED, {'words-large': ()}, False),
        (ADAPTED, {'words-large': ('a1',)}, True),
    ],
)
def test_only_servers_that_hold_what_is_needed(wanted, models, expected):
    servers = routing_parts.servers(1, adapters_by_model=models)
    found = chooser().choose(servers, wish(wanted), 0.0)
    assert (found is not None) is expected


def test_a_near_server_is_preferred_while_it_has_room():
    servers = [
        *routing_parts.servers(1, failure_domain='south'),
        *routing_parts.servers(1, server_id='near', slots=64),
    ]
    counts = collections.Counter(
        chooser().choose(servers, wish(), 0.0).server_id for _ in range(50)
    )
    assert counts['near'] == 50


@pytest.mark.parametrize(
    ('more', 'expected'),
    [
        ({'avoid': frozenset(('server-0',))}, 'server-1'),
        ({'only': frozenset(('server-0',))}, 'server-0'),
        (
            {
                'only': frozenset(('server-0',)),
                'avoid': frozenset(('server-0',)),
            },
            None,
        ),
    ],
)
def test_avoided_and_only(more, expected):
    found = chooser().choose(routing_parts.servers(2), wish(**more), 0.0)
    assert getattr(found, 'server_id', None) == expected


def test_a_dead_server_is_tried_by_one_request_at_a_time():
    (one,) = routing_parts.servers(1)
    one.suspend(0.0)
    assert not one.is_usable(0.1)
    assert one.is_usable(0.3)
    one.begin_trial(0.3)
    assert not one.is_usable(0.31)
    one.note_outcome(0.4, failed=False)
    one.begin_trial(2.0)
    assert one.is_usable(2.0)


def test_a_server_that_declines_is_passed_over_for_a_moment():
    (one,) = routing_parts.servers(
        1,
        adapters_by_model={'words-large': ()},
    )
    one.skip_briefly(WORDS, 0.0)
    assert chooser().choose([one], wish(WORDS), 0.05) is None
    assert chooser().choose([one], wish(WORDS), 0.2) is one


def test_a_reported_load_fades_and_counts_own_requests_once():
    (one,) = routing_parts.servers(1, slots=10)
    one.in_flight = 4
    one.note_load(running=10, waiting=2, now_s=0.0)
    assert one.load(0.0) == pytest.approx(1.2)
    assert one.load(10.0) == pytest.approx(0.4, abs=0.01)


@pytest.mark.parametrize(
    ('second', 'kept', 'leaving'),
    [
        # The same process tells news.
        ({'leaving': True}, True, True),
        # Another process under the same id.
        ({'started_ms': 5000}, False, False),
        ({'port': 30000}, False, False),
        # A late word of an earlier process.
        ({'started_ms': 10, 'leaving': True}, True, False),
    ],
)
def test_registrations_of_one_id(second, kept, leaving):
    servers = server_table.ServerTable()
    first = servers.put(routing_parts.registration(0))
    servers.put(routing_parts.registration(0, **second))
    now = servers.by_id['server-0']
    assert (now is first) is kept
    assert first.is_removed is not kept
    assert now.registration.leaving is leaving


def test_a_leaving_server_does_not_come_back_by_a_late_word():
    servers = server_table.ServerTable()
    servers.put(routing_parts.registration(0, leaving=True))
    servers.put(routing_parts.registration(0))
    assert not servers.by_id['server-0'].is_usable(0.0)


def test_learned_adapters_stay_while_their_model_does():
    servers = server_table.ServerTable()
    one = servers.put(
        routing_parts.registration(0, adapters_by_model={'words-large': ()}),
    )
    one.add_held(ADAPTED)
    servers.put(
        routing_parts.registration(0, adapters_by_model={'words-large': ()}),
    )
    assert one.holds(ADAPTED)
    servers.put(routing_parts.registration(0, adapters_by_model={}))
    assert not one.holds(ADAPTED)


def test_a_wait_that_was_seen_is_forgotten():
    (one,) = routing_parts.servers(1)
    for _ in range(20):
        one.note_wait(2.0, 5.0)
    assert one.recent_wait_s(5.0) > 1.8
    assert one.recent_wait_s(12.0) < 0.1
