"""Test the running requests that instances report."""

import pytest

from oatcrank.cluster import demand_counter
from oatcrank.orders import runs
from oatcrank.routing import need

MODEL = need.Need('words', 'm0')
ADAPTED = need.Need('words', 'm0', 'a1')
OTHER = need.Need('words', 'm0', 'a2')


@pytest.mark.parametrize(
    ('server_id', 'wanted', 'expected'),
    [
        ('server-0', MODEL, 4),
        ('server-0', ADAPTED, 3),
        ('server-0', OTHER, 0),
        ('server-1', MODEL, 1),
        ('server-2', MODEL, 0),
    ],
)
def test_runs_of_all_instances_are_summed(server_id, wanted, expected):
    reported = runs.Runs()
    reported.update(
        'instance-1',
        [
            runs.Running('server-0', ADAPTED, 2),
            runs.Running('server-0', MODEL, 1),
        ],
        5.0,
    )
    reported.update(
        'instance-2',
        [
            runs.Running('server-0', ADAPTED, 1),
            runs.Running('server-1', OTHER, 1),
        ],
        5.5,
    )
    assert reported.count(server_id, wanted, 6.0) == expected


def test_a_newer_report_replaces_the_earlier_one():
    reported = runs.Runs()
    reported.update('instance-1', [runs.Running('server-0', MODEL, 5)], 5.0)
    reported.update('instance-1', [runs.Running('server-0', MODEL, 1)], 5.5)
    assert reported.count('server-0', MODEL, 5.6) == 1
    assert reported.count('server-0', MODEL, 5.6 + runs.STALE_S) == 0


def test_a_counter_returns_what_runs_and_samples_since_the_last_call():
    counter = demand_counter.DemandCounter()
    for _ in range(3):
        counter.record_demand(ADAPTED, 1.0)
        counter.record_start('server-0', ADAPTED)
    counter.record_end('server-0', ADAPTED, 0.7)
    assert counter.running() == (runs.Running('server-0', ADAPTED, 2),)
    (sample,) = counter.take_samples(1.5)
    assert (sample.count, sample.busy_s, sample.age_s) == (3, 0.7, 0.5)
    assert not counter.take_samples(2.0)
    counter.record_end('server-0', ADAPTED, 0.1)
    counter.record_end('server-0', ADAPTED, 0.1)
    assert not counter.running()
