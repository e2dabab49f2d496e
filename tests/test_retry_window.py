"""Test that retries stay within the common bound, whoever spends them."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatcrank.routing import retry_budgets, retry_window

RATIO = 0.2
ALLOWANCE = 58.0
WINDOW_S = 10.0


def window() -> retry_window.RetryWindow:
    return retry_window.RetryWindow(
        ratio=RATIO,
        allowance=ALLOWANCE,
        window_s=WINDOW_S,
    )


@pytest.mark.parametrize(
    ('firsts', 'instances', 'least', 'most'),
    [
        (0, 1, 40, 58),
        (0, 9, 3, 6),
        (100, 1, 55, 78),
        (100, 9, 18, 26),
        (0, 100, 0, 0),
    ],
)
def test_spend_at_one_moment(firsts, instances, least, most):
    budget = window()
    for _ in range(firsts):
        budget.note_first(1.0)
    spent = sum(budget.spend(1.0, instances) for _ in range(500))
    assert least <= spent <= most


def test_spent_retries_come_back_after_the_window():
    budget = window()
    spent = [budget.spend(0.0, 1) for _ in range(100)]
    assert not all(spent)
    assert not budget.spend(WINDOW_S - 0.1, 1)
    assert budget.spend(WINDOW_S + 0.1, 1)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 4),
            st.floats(0, 0.5),
            st.integers(0, 5),
            st.integers(0, 8),
        ),
        max_size=120,
    ),
)
def test_the_sum_over_instances_keeps_the_bound(steps):
    """Replay any mix of first sends and wishes to send again."""
    instances = 5
    windows = [window() for _ in range(instances)]
    firsts = []
    repeats = []
    now_s = 0.0
    for which, pause_s, sends, wishes in steps:
        now_s += pause_s
        for _ in range(sends):
            windows[which].note_first(now_s)
            firsts.append(now_s)
        granted = [
            windows[which].spend(now_s, instances) for _ in range(wishes)
        ]
        repeats.extend(now_s for one in granted if one)
    for end_s in repeats:
        inside = [one for one in repeats if end_s - WINDOW_S < one <= end_s]
        counted = [one for one in firsts if end_s - WINDOW_S <= one <= end_s]
        assert len(inside) <= RATIO * len(counted) + ALLOWANCE


def test_services_have_budgets_of_their_own():
    budgets = retry_budgets.RetryBudgets(
        ratio=0,
        allowance=2,
        window_s=WINDOW_S,
        instances=lambda: 1,
    )
    assert budgets.spend('words', 0.0)
    assert not budgets.spend('words', 0.0)
    assert budgets.spend('bookings', 0.0)


def test_a_changed_bound_counts_at_once_and_spent_retries_stay_spent():
    budgets = retry_budgets.RetryBudgets(
        ratio=RATIO,
        allowance=ALLOWANCE,
        window_s=WINDOW_S,
        instances=lambda: 1,
    )
    before = sum(budgets.spend('words', 1.0) for _ in range(20))
    assert before == 20
    budgets.set_limits(ratio=RATIO, allowance=30.0, window_s=WINDOW_S)
    after = sum(budgets.spend('words', 1.0) for _ in range(100))
    assert before + after <= 30
    assert after
