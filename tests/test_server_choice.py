"""Test the selection of servers under load and partial failures."""

import collections
import random

import pytest
import routing_parts

from oatcrank.routing import need, server_selection, server_table

PLAIN = need.Need(routing_parts.SERVICE)
WORDS = need.Need(routing_parts.SERVICE, 'words-large')
ADAPTED = need.Need(routing_parts.SERVICE, 'words-large', 'a1')


def selector(domain='north'):
    return server_selection.ServerSelector(domain, random.Random(7))


def criteria(wanted=PLAIN, **more):
    return server_selection.SelectionCriteria(wanted=wanted, **more)


def test_a_burst_is_distributed_before_any_server_reports_load():
    servers = routing_parts.servers(3)
    server_selector = selector()
    for _ in range(60):
        server_selector.choose(servers, criteria(), 0.0).in_flight += 1
    assert max(server.in_flight for server in servers) <= 24


def test_a_partly_failing_server_gets_only_trial_requests():
    servers = routing_parts.servers(3)
    server_selector = selector()
    counts = collections.Counter()
    for step in range(900):
        now_s = step * 0.01
        server = server_selector.choose(servers, criteria(), now_s)
        may_fail = server is servers[0]
        server.record_outcome(now_s, failed=may_fail and step % 2 == 0)
        if step >= 300:
            counts[server.server_id] += 1
    assert 0 < counts['server-0'] < 90


def test_servers_that_fail_equally_are_all_used():
    servers = routing_parts.servers(3)
    server_selector = selector()
    counts = collections.Counter()
    for step in range(600):
        now_s = step * 0.01
        server = server_selector.choose(servers, criteria(), now_s)
        server.record_outcome(now_s, failed=step % 2 == 0)
        counts[server.server_id] += 1
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
    selected = selector().choose(servers, criteria(wanted), 0.0)
    assert (selected is not None) is expected


def test_a_server_of_the_same_failure_domain_is_preferred():
    servers = [
        *routing_parts.servers(1, failure_domain='south'),
        *routing_parts.servers(1, server_id='near', slots=64),
    ]
    counts = collections.Counter(
        selector().choose(servers, criteria(), 0.0).server_id for _ in range(50)
    )
    assert counts['near'] == 50


@pytest.mark.parametrize(
    ('more', 'expected'),
    [
        ({'excluded_ids': frozenset(('server-0',))}, 'server-1'),
        ({'allowed_ids': frozenset(('server-0',))}, 'server-0'),
        (
            {
                'allowed_ids': frozenset(('server-0',)),
                'excluded_ids': frozenset(('server-0',)),
            },
            None,
        ),
    ],
)
def test_avoided_and_only(more, expected):
    selected = selector().choose(
        routing_parts.servers(2), criteria(**more), 0.0
    )
    assert getattr(selected, 'server_id', None) == expected


def test_a_suspended_server_is_tried_by_one_request_at_a_time():
    (server,) = routing_parts.servers(1)
    server.suspend(0.0)
    assert not server.is_usable(0.1)
    assert server.is_usable(0.3)
    server.begin_trial(0.3)
    assert not server.is_usable(0.31)
    server.record_outcome(0.4, failed=False)
    server.begin_trial(2.0)
    assert server.is_usable(2.0)


def test_a_server_that_declines_is_skipped_briefly():
    (server,) = routing_parts.servers(
        1,
        adapters_by_model={'words-large': ()},
    )
    server.skip_briefly(WORDS, 0.0)
    assert selector().choose([server], criteria(WORDS), 0.05) is None
    assert selector().choose([server], criteria(WORDS), 0.2) is server


def test_a_reported_load_decays_and_counts_own_requests_once():
    (server,) = routing_parts.servers(1, slots=10)
    server.in_flight = 4
    server.record_load(running=10, waiting=2, now_s=0.0)
    assert server.load(0.0) == pytest.approx(1.2)
    assert server.load(10.0) == pytest.approx(0.4, abs=0.01)


@pytest.mark.parametrize(
    ('changes', 'kept', 'leaving'),
    [
        # An update of the same process.
        ({'leaving': True}, True, True),
        # Another process under the same id.
        ({'started_ms': 5000}, False, False),
        ({'port': 30000}, False, False),
        # A delayed registration of an earlier process.
        ({'started_ms': 10, 'leaving': True}, True, False),
    ],
)
def test_registrations_of_one_id(changes, kept, leaving):
    servers = server_table.ServerTable()
    first = servers.put(routing_parts.registration(0))
    servers.put(routing_parts.registration(0, **changes))
    now = servers.by_id['server-0']
    assert (now is first) is kept
    assert first.is_removed is not kept
    assert now.registration.leaving is leaving


def test_a_leaving_server_does_not_return_by_a_delayed_registration():
    servers = server_table.ServerTable()
    servers.put(routing_parts.registration(0, leaving=True))
    servers.put(routing_parts.registration(0))
    assert not servers.by_id['server-0'].is_usable(0.0)


def test_known_adapters_stay_as_long_as_their_model():
    servers = server_table.ServerTable()
    server = servers.put(
        routing_parts.registration(0, adapters_by_model={'words-large': ()}),
    )
    server.add_held(ADAPTED)
    servers.put(
        routing_parts.registration(0, adapters_by_model={'words-large': ()}),
    )
    assert server.holds(ADAPTED)
    servers.put(routing_parts.registration(0, adapters_by_model={}))
    assert not server.holds(ADAPTED)


def test_recent_waits_decay():
    (server,) = routing_parts.servers(1)
    for _ in range(20):
        server.record_wait(2.0, 5.0)
    assert server.recent_wait_s(5.0) > 1.8
    assert server.recent_wait_s(12.0) < 0.1
