"""Test the times of the steps of a planned stop."""

import pytest

from oatcrank.cluster import stop_schedule

# Answers that a server works on are not to end before this share of the time.
AT_WORK_SHARE = 5 / 6


@pytest.mark.parametrize('timeout_s', [0.5, 2, 3, 8, 30, 120])
def test_a_stop_uses_most_of_its_time_and_ends_in_it(timeout_s):
    """With a short timeout a fixed margin ended answers too soon."""
    times = stop_schedule.schedule(100.0, timeout_s)
    ends = [
        times.accepts_until_s,
        times.give_up_s,
        times.connections_end_s,
        times.ends_s,
    ]
    assert ends == sorted(ends)
    assert times.give_up_s > 100.0 + timeout_s * AT_WORK_SHARE
    assert times.ends_s < 100.0 + timeout_s
