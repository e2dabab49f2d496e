"""Test that retries over all instances stay within the common limit."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oatcrank.routing import retry_budgets, retry_window

RATIO = 0.2
ALLOWANCE = 58.0
WINDOW_S = 10.0


def window(began_s: float = -math.inf) -> retry_window.RetryWindow:
    return retry_window.RetryWindow(
        ratio=RATIO,
        allowance=ALLOWANCE,
        window_s=WINDOW_S,
        began_s=began_s,
    )


@pytest.mark.parametrize(
    ('first_sends', 'instances', 'min_spent', 'max_spent'),
    [
        (0, 1, 40, 58),
        (0, 9, 3, 6),
        (100, 1, 55, 78),
        (100, 9, 18, 26),
        (0, 100, 0, 0),
    ],
)
def test_spend_at_one_moment(first_sends, instances, min_spent, max_spent):
    budget = window()
    for _ in range(first_sends):
        budget.record_first_send(1.0)
    spent = sum(budget.spend(1.0, instances) for _ in range(500))
    assert min_spent <= spent <= max_spent


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
def test_the_sum_over_instances_keeps_the_limit(steps):
    """Run any mix of first sends and attempts to retry."""
    instances = 5
    windows = [window() for _ in range(instances)]
    first_sends = []
    retries = []
    now_s = 0.0
    for index, pause_s, sends, attempts in steps:
        now_s += pause_s
        for _ in range(sends):
            windows[index].record_first_send(now_s)
            first_sends.append(now_s)
        granted = [
            windows[index].spend(now_s, instances) for _ in range(attempts)
        ]
        retries.extend(now_s for is_granted in granted if is_granted)
    for end_s in retries:
        inside = [
            sent_s for sent_s in retries if end_s - WINDOW_S < sent_s <= end_s
        ]
        counted = [
            sent_s
            for sent_s in first_sends
            if end_s - WINDOW_S <= sent_s <= end_s
        ]
        assert len(inside) <= RATIO * len(counted) + ALLOWANCE


def test_each_service_has_its_own_budget():
    budgets = retry_budgets.RetryBudgets(
        ratio=0,
        allowance=2,
        window_s=WINDOW_S,
        instances=lambda: 1,
    )
    assert budgets.spend('words', 0.0)
    assert not budgets.spend('words', 0.0)
    assert budgets.spend('bookings', 0.0)


def test_changed_limits_apply_at_once_and_spent_retries_stay_spent():
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


@pytest.mark.parametrize('restart_interval_s', [0.5, 2.0, 9.0, 11.0])
def test_restarted_instances_keep_the_limit(restart_interval_s):
    """A process that was restarted doesn't know what the earlier one spent."""
    instances = 3
    steps_per_s = 10
    first_sends = []
    retries = []
    budget_by_instance = {}
    for step in range(60 * steps_per_s):
        now_s = step / steps_per_s
        for number in range(instances):
            began_s, budget = budget_by_instance.get(number, (-100.0, None))
            if budget is None or now_s - began_s >= restart_interval_s:
                budget = window(began_s=now_s)
                budget_by_instance[number] = (now_s, budget)
            budget.record_first_send(now_s)
            first_sends.append(now_s)
            retries.extend(
                now_s for _ in range(20) if budget.spend(now_s, instances)
            )
    for end_s in set(retries):
        spent = sum(end_s - WINDOW_S < sent_s <= end_s for sent_s in retries)
        counted = sum(
            end_s - WINDOW_S <= sent_s <= end_s for sent_s in first_sends
        )
        assert spent <= RATIO * counted + ALLOWANCE


def test_the_allowance_is_available_after_the_first_window():
    budget = window(began_s=0.0)
    assert not budget.spend(WINDOW_S - 0.1, 1)
    assert budget.spend(WINDOW_S + 0.1, 1)
