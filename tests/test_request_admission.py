"""Test when a request waits at a server and when it is refused."""

import msgspec
import pytest

from oatcrank.routing import admission


def queue_state(requests, slots=6, service_s=0.02):
    return admission.QueueState(
        requests=requests,
        slots=slots,
        service_s=service_s,
    )


@pytest.mark.parametrize(
    ('requests', 'remaining_s', 'admitted'),
    [
        # Nothing is refused while a slot is free, however little time is left.
        (0, 0.001, True),
        (5, 0.001, True),
        # A burst waits as long as it can start in time.
        (12, 0.5, True),
        (60, 0.5, True),
        # Requests that would start too late are refused at once.
        (200, 0.5, False),
        (6, 0.001, False),
    ],
)
def test_admission(requests, remaining_s, admitted):
    assert (
        admission.retry_after_s(queue_state(requests), remaining_s, 0.0) is None
    ) is admitted


def test_a_service_cut_to_a_third_refuses_what_it_cannot_serve_in_time():
    """With 6 slots instead of 18 the same queue takes three times as long."""
    whole = admission.expected_wait_s(queue_state(90, slots=18, service_s=0.1))
    third = admission.expected_wait_s(queue_state(90, slots=6, service_s=0.1))
    assert third > 3 * whole
    assert admission.retry_after_s(queue_state(90, 18, 0.1), 1.0, 0.0) is None
    assert (
        admission.retry_after_s(queue_state(90, 6, 0.1), 1.0, 0.0) is not None
    )


def test_callers_that_are_refused_together_retry_at_different_times():
    times = {
        admission.retry_after_s(queue_state(400), 0.5, draw / 10)
        for draw in range(10)
    }
    assert len(times) == 10
    assert max(times) > 1.4 * min(times)


def test_the_retry_time_grows_with_the_queue():
    short = admission.retry_after_s(queue_state(200), 0.5, 0.0)
    long = admission.retry_after_s(queue_state(800), 0.5, 0.0)
    assert short < long


def test_recent_waits_count_even_if_the_queue_is_short():
    """Answers of an overloaded model server begin late despite few requests."""
    crowded = admission.QueueState(
        requests=70,
        slots=64,
        service_s=0.3,
        recent_wait_s=2.5,
    )
    assert admission.retry_after_s(crowded, 1.9, 0.0) is not None
    free = msgspec.structs.replace(crowded, requests=40)
    assert admission.retry_after_s(free, 1.9, 0.0) is None
