"""Test how demand is counted."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatcrank.orders import demand
from oatcrank.routing import need

BUSY = need.Need('words', 'm0')
ADAPTED = need.Need('words', 'm0', 'a1')
RARE = need.Need('words', 'm1')


def counted(*reports):
    found = demand.DemandWindow()
    found.extend_coverage(demand.WINDOW_S, reports[0][1])
    for asked, now_s in reports:
        found.note(asked, now_s)
    return found


def wanted(found, asked, now_s):
    """Return the demand for the model of something asked for."""
    by_model = found.by_model(asked.service, now_s)
    return by_model.get(asked.model, demand.NO_DEMAND)


def test_a_model_counts_with_its_adapters():
    found = counted(
        (demand.DemandSample(BUSY, 30), 0.0),
        (demand.DemandSample(ADAPTED, 20), 0.0),
    )
    assert found.rate(BUSY, 0.0) == pytest.approx(3.0)
    assert wanted(found, BUSY, 0.0).rate > found.rate(BUSY, 0.0)
    assert wanted(found, RARE, 0.0).rate == 0


def test_a_model_that_falls_silent_is_seen_before_the_window_ends():
    found = counted(
        *(
            (demand.DemandSample(BUSY, 10), float(second))
            for second in range(10)
        ),
    )
    before = wanted(found, BUSY, 9.0).rate
    assert wanted(found, BUSY, 13.1).rate < before / 2
    assert wanted(found, BUSY, 25.0).rate == 0


def test_a_model_that_rises_is_seen_at_once():
    found = counted((demand.DemandSample(RARE, 0), 0.0))
    found.note(demand.DemandSample(BUSY, 10), 10.0)
    assert wanted(found, BUSY, 10.0).rate > 2


@pytest.mark.parametrize(
    ('counts', 'least', 'most'),
    [
        # A model that rises to ten a second within five seconds.
        ([0, 0, 0, 0, 0, 0, 0, 2, 4, 6], 6, 10),
        # Steady demand, with its chance, is not taken to rise.
        ([1, 0, 1, 2, 0, 1, 1, 2, 1, 1], 0.8, 1.6),
        ([10, 11, 9, 10, 12, 9, 10, 11, 12, 11], 9, 12),
        ([0, 0, 1, 0, 0, 0, 0, 1, 0, 1], 0, 0.8),
    ],
)
def test_demand_that_rises_is_taken_to_rise_on(counts, least, most):
    """A load takes seconds: it is begun for what will be asked for then."""
    found = counted(
        *(
            (demand.DemandSample(BUSY, count), float(second))
            for second, count in enumerate(counts)
        ),
    )
    assert least <= wanted(found, BUSY, 9.5).rate <= most


def test_running_follows_demand_and_the_length_of_runs():
    found = counted(
        (demand.DemandSample(BUSY, 5, busy_s=15.0), 0.0),
        (demand.DemandSample(ADAPTED, 5, busy_s=5.0), 0.0),
    )
    rate = wanted(found, BUSY, 0.0).rate
    assert wanted(found, BUSY, 0.0).running == pytest.approx(2.0 * rate)
    assert wanted(found, BUSY, 0.0).adapters == pytest.approx(0.5)
    assert wanted(found, RARE, 0.0).running == 0


def test_last_asked_keeps_the_latest():
    found = counted((demand.DemandSample(ADAPTED, 1, age_s=0.3), 5.0))
    found.record_use(ADAPTED, 4.0)
    assert found.last_used_s(ADAPTED) == pytest.approx(4.7)


def test_a_summary_tells_another_all_of_it():
    found = counted((demand.DemandSample(BUSY, 7, 1.5), 1.0))
    other = demand.DemandWindow()
    other.extend_coverage(10.0, 1.0)
    for asked in found.summary(1.0):
        other.note(asked, 1.0)
    assert other.rate(BUSY, 1.0) == found.rate(BUSY, 1.0)
    assert wanted(other, BUSY, 1.0).running == wanted(found, BUSY, 1.0).running


def test_a_summary_keeps_when_things_were_asked_for():
    """A new holder must not take ten seconds' demand for that of three."""
    steady = [
        (demand.DemandSample(BUSY, 10, busy_s=5.0), float(second))
        for second in range(10)
    ]
    found = counted(*steady)
    other = demand.DemandWindow()
    other.extend_coverage(10.0, 9.5)
    other.note(demand.DemandSample(RARE, 1), 9.5)
    for asked in found.summary(9.5):
        other.note(asked, 9.5)
    for at_s in (9.5, 12.0, 16.0):
        assert wanted(other, BUSY, at_s).rate == pytest.approx(
            wanted(found, BUSY, at_s).rate,
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
    """Runs that end long after they were asked for are counted as well."""
    found = demand.DemandWindow()
    noted = []
    now_s = 0.0
    for named, times, busy_s, pause_s in reports:
        now_s += pause_s
        found.note(demand.DemandSample(named, times, busy_s), now_s)
        noted.append((now_s, named, times, busy_s))
    span_s = max(1.0, found.age_s(now_s))
    for named in (BUSY, ADAPTED, RARE):
        inside = [
            row
            for row in noted
            if row[1] == named and row[0] >= now_s - demand.WINDOW_S
        ]
        assert found.rate(named, now_s) == pytest.approx(
            sum(row[2] for row in inside) / span_s,
        )
