"""Test demand over a sliding window."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatcrank.orders import demand
from oatcrank.routing import need

BUSY = need.Need('words', 'm0')
ADAPTED = need.Need('words', 'm0', 'a1')
RARE = need.Need('words', 'm1')


def window_of(*reports):
    window = demand.DemandWindow()
    window.extend_coverage(demand.WINDOW_S, reports[0][1])
    for sample, now_s in reports:
        window.note(sample, now_s)
    return window


def demand_of(window, wanted, now_s):
    """Return the demand for the model of a need."""
    by_model = window.by_model(wanted.service, now_s)
    return by_model.get(wanted.model, demand.NO_DEMAND)


def test_a_model_counts_with_its_adapters():
    window = window_of(
        (demand.DemandSample(BUSY, 30), 0.0),
        (demand.DemandSample(ADAPTED, 20), 0.0),
    )
    assert window.rate(BUSY, 0.0) == pytest.approx(3.0)
    assert demand_of(window, BUSY, 0.0).rate > window.rate(BUSY, 0.0)
    assert demand_of(window, RARE, 0.0).rate == 0


def test_falling_demand_is_detected_before_the_window_ends():
    window = window_of(
        *(
            (demand.DemandSample(BUSY, 10), float(second))
            for second in range(10)
        ),
    )
    before = demand_of(window, BUSY, 9.0).rate
    assert demand_of(window, BUSY, 13.1).rate < before / 2
    assert demand_of(window, BUSY, 25.0).rate == 0


def test_rising_demand_is_detected_at_once():
    window = window_of((demand.DemandSample(RARE, 0), 0.0))
    window.note(demand.DemandSample(BUSY, 10), 10.0)
    assert demand_of(window, BUSY, 10.0).rate > 2


@pytest.mark.parametrize(
    ('counts', 'min_rate', 'max_rate'),
    [
        # A model that rises to ten a second within five seconds.
        ([0, 0, 0, 0, 0, 0, 0, 2, 4, 6], 6, 10),
        # Random variation of steady demand is not extrapolated.
        ([1, 0, 1, 2, 0, 1, 1, 2, 1, 1], 0.8, 1.6),
        ([10, 11, 9, 10, 12, 9, 10, 11, 12, 11], 9, 12),
        ([0, 0, 1, 0, 0, 0, 0, 1, 0, 1], 0, 0.8),
    ],
)
def test_rising_demand_is_extrapolated(counts, min_rate, max_rate):
    """A load takes seconds, so it is decided by the demand at its end."""
    window = window_of(
        *(
            (demand.DemandSample(BUSY, count), float(second))
            for second, count in enumerate(counts)
        ),
    )
    assert min_rate <= demand_of(window, BUSY, 9.5).rate <= max_rate


def test_running_follows_demand_and_run_time():
    window = window_of(
        (demand.DemandSample(BUSY, 5, busy_s=15.0), 0.0),
        (demand.DemandSample(ADAPTED, 5, busy_s=5.0), 0.0),
    )
    rate = demand_of(window, BUSY, 0.0).rate
    assert demand_of(window, BUSY, 0.0).running == pytest.approx(2.0 * rate)
    assert demand_of(window, BUSY, 0.0).adapters == pytest.approx(0.5)
    assert demand_of(window, RARE, 0.0).running == 0


def test_the_last_use_is_the_latest_one():
    window = window_of((demand.DemandSample(ADAPTED, 1, age_s=0.3), 5.0))
    window.record_use(ADAPTED, 4.0)
    assert window.last_used_s(ADAPTED) == pytest.approx(4.7)


def test_a_summary_reproduces_the_demand():
    window = window_of((demand.DemandSample(BUSY, 7, 1.5), 1.0))
    other = demand.DemandWindow()
    other.extend_coverage(10.0, 1.0)
    for sample in window.summary(1.0):
        other.note(sample, 1.0)
    assert other.rate(BUSY, 1.0) == window.rate(BUSY, 1.0)
    assert (
        demand_of(other, BUSY, 1.0).running
        == demand_of(window, BUSY, 1.0).running
    )


def test_a_summary_preserves_the_times_of_samples():
    """A new holder must not count ten seconds of demand as three."""
    steady = [
        (demand.DemandSample(BUSY, 10, busy_s=5.0), float(second))
        for second in range(10)
    ]
    window = window_of(*steady)
    other = demand.DemandWindow()
    other.extend_coverage(10.0, 9.5)
    other.note(demand.DemandSample(RARE, 1), 9.5)
    for sample in window.summary(9.5):
        other.note(sample, 9.5)
    for at_s in (9.5, 12.0, 16.0):
        assert demand_of(other, BUSY, at_s).rate == pytest.approx(
            demand_of(window, BUSY, at_s).rate,
            rel=0.2,
        )


@given(
    st.lists(
        st.tuples(
            st.sampled_from([BUSY, ADAPTED, RARE]),
            st.integers(0, 3),
            st.floats(0, 2),
            st.floats(0, 4),
        ),
        max_size=60,
    ),
)
def test_counts_are_those_of_the_window(reports):
    """Runs that end long after their request are counted as well."""
    window = demand.DemandWindow()
    samples = []
    now_s = 0.0
    for wanted, times, busy_s, pause_s in reports:
        now_s += pause_s
        window.note(demand.DemandSample(wanted, times, busy_s), now_s)
        samples.append((now_s, wanted, times, busy_s))
    span_s = max(1.0, window.coverage_s(now_s))
    for wanted in (BUSY, ADAPTED, RARE):
        inside = [
            row
            for row in samples
            if row[1] == wanted and row[0] >= now_s - demand.WINDOW_S
        ]
        assert window.rate(wanted, now_s) == pytest.approx(
            sum(row[2] for row in inside) / span_s,
        )
