"""Test when an instance takes itself as cut off from servers."""

import pytest

from oatcrank.routing import server_links

NOW_S = 100.0
SOON_S = NOW_S + server_links.SILENT_S


def links():
    return server_links.ServiceLinks('words')


@pytest.mark.parametrize(
    ('failure', 'waiting', 'heard_s', 'failed', 'needed'),
    [
        ('an idle instance probes', False, 0, (), False),
        ('a silent service is not probed', True, 0, (), True),
        ('one slow answer leads to a probe', True, SOON_S, (), False),
        ('a failed connection is not followed', False, SOON_S, ('a',), True),
    ],
)
def test_probes(failure, waiting, heard_s, failed, needed):
    known = links()
    if waiting:
        known.begin_wait(1, NOW_S)
    known.record_heard(heard_s)
    for server_id in failed:
        known.record_failed(server_id)
    assert known.needs_probe(SOON_S) is needed, failure


def test_a_long_queue_leads_to_few_probes():
    known = links()
    known.begin_wait(1, NOW_S)
    known.record_connected('a', SOON_S)
    known.record_probe(reached=1, probed=1, now_s=SOON_S)
    assert not known.needs_probe(SOON_S + server_links.PROBED_S - 0.1)
    assert known.needs_probe(SOON_S + server_links.PROBED_S)
    known.end_wait(1)
    assert not known.needs_probe(SOON_S + server_links.PROBED_S)


@pytest.mark.parametrize(
    ('failure', 'reached', 'probed', 'is_cut'),
    [
        ('the cut is not seen', 0, 4, True),
        ('a single server that is gone hides the others', 1, 4, False),
        ('a service without servers is cut off', 0, 0, False),
    ],
)
def test_a_cut(failure, reached, probed, is_cut):
    known = links()
    known.record_probe(reached=reached, probed=probed, now_s=NOW_S)
    assert known.is_cut is is_cut, failure


@pytest.mark.parametrize(
    ('failure', 'connected', 'reached', 'is_cut'),
    [
        ('one server ends the cut for all', ('a',), 1, True),
        ('the cut does not end', ('a', 'b'), 2, False),
        ('the only server does not end the cut', ('a',), 4, False),
    ],
)
def test_the_end_of_a_cut(failure, connected, reached, is_cut):
    known = links()
    known.record_probe(reached=0, probed=4, now_s=NOW_S)
    for server_id in connected:
        known.record_connected(server_id, SOON_S)
    known.record_probe(reached=reached, probed=4, now_s=SOON_S)
    assert known.is_cut is is_cut, failure


@pytest.mark.parametrize(
    ('failure', 'heard_s', 'is_down'),
    [
        ('requests are sent in vain', 0, True),
        ('connections that live on are not used', NOW_S, False),
    ],
)
def test_old_connections_in_a_cut(failure, heard_s, is_down):
    known = links()
    known.record_heard(heard_s)
    known.record_probe(reached=0, probed=4, now_s=NOW_S)
    assert known.is_down(NOW_S + 0.1) is is_down, failure


def test_several_servers_that_fail_in_a_row_are_suspect():
    known = links()
    known.record_failed('a')
    assert not known.is_suspect
    known.record_failed('b')
    assert known.is_suspect
    known.record_connected('c', NOW_S)
    assert not known.is_suspect
