"""Test how the owner of a quota and an instance with a share count units."""

import pytest

from oatcrank.organisations import organisation, quota_account, quota_share

QUOTA = organisation.Quota(
    unit=organisation.QuotaUnit.tokens,
    per_s=1000,
    burst=2000,
    plain_cost=200,
)


def grant(account, cost, now_s, ahead=0.0, instances=2, max_wait_s=0.0):
    return account.grant(
        QUOTA,
        quota_account.Wanted(cost, ahead, max_wait_s),
        instances,
        now_s,
    )


@pytest.mark.parametrize(
    ('failure', 'level', 'cost', 'max_wait_s', 'granted', 'wait_s', 'left'),
    [
        ('a request within the level waits', 500, 400, 0, True, 0, 100),
        ('a large request is starved', 1, 1900, 0, True, 0, -1899),
        ('a debt is not paid', -100, 10, 0, False, 0.1, -100),
        ('a short wait is refused', -40, 10, 0.05, True, 0.04, -50),
        ('a long wait is granted', -60, 10, 0.05, False, 0.06, -60),
    ],
)
def test_an_overdrawn_organisation(
    failure, level, cost, max_wait_s, granted, wait_s, left
):
    account = quota_account.QuotaAccount(0, level)
    decided = grant(account, cost, 0, max_wait_s=max_wait_s)
    assert (decided.granted, account.level) == (granted, left), failure
    assert decided.wait_s == pytest.approx(wait_s)


@pytest.mark.parametrize(
    ('failure', 'level', 'asked_ahead', 'instances', 'ahead'),
    [
        ('one instance gets all that is left', 2000, 2000, 4, 175),
        ('an instance gets more than it asks', 2000, 50, 4, 50),
        ('a used quota is granted ahead', 1250, 500, 4, 0),
    ],
)
def test_units_granted_ahead(failure, level, asked_ahead, instances, ahead):
    account = quota_account.QuotaAccount(0, level)
    decided = grant(account, 100, 0, asked_ahead, instances)
    assert decided.ahead == pytest.approx(ahead), failure


@pytest.mark.parametrize(
    ('failure', 'now_s', 'level'),
    [
        ('the rate is not added', 1, 1000),
        ('the level exceeds the burst', 60, 2000),
        ('a clock that goes back takes units', -5, 0),
    ],
)
def test_filling(failure, now_s, level):
    account = quota_account.QuotaAccount(0)
    account.fill(QUOTA, now_s)
    assert account.level == level, failure


def test_a_lowered_burst_applies_at_once():
    account = quota_account.QuotaAccount(0, 2000)
    lowered = organisation.Quota(
        unit=organisation.QuotaUnit.tokens, per_s=100, burst=300
    )
    account.fill(lowered, 0)
    assert account.level == 300


@pytest.mark.parametrize(
    ('unit', 'tokens', 'cost'),
    [
        (organisation.QuotaUnit.tokens, 715, 715),
        (organisation.QuotaUnit.tokens, 0, 0),
        (organisation.QuotaUnit.tokens, None, 200),
        (organisation.QuotaUnit.requests, 715, 1),
    ],
)
def test_costs(unit, tokens, cost):
    quota = organisation.Quota(unit=unit, per_s=1, burst=1, plain_cost=200)
    assert quota.cost_of(tokens) == cost


@pytest.mark.parametrize(
    ('failure', 'cost', 'now_s', 'taken'),
    [
        ('a share is not used', 60, 0.5, True),
        ('a share is overdrawn', 101, 0.5, False),
        ('a share outlives its owner', 60, quota_share.SHARE_S, False),
    ],
)
def test_a_share(failure, cost, now_s, taken):
    share = quota_share.QuotaShare(0)
    share.begin(7, 100, 0)
    assert share.take(cost, now_s) is taken, failure


@pytest.mark.parametrize(
    ('failure', 'ended_s', 'returned'),
    [
        ('unused units are lost', 1.0, quota_share.ShareReturn(7, 100)),
        ('ended units are granted again', quota_share.SHARE_S, None),
    ],
)
def test_the_end_of_a_share(failure, ended_s, returned):
    share = quota_share.QuotaShare(0)
    share.begin(7, 100, 0)
    assert share.end(ended_s) == returned, failure
    assert share.end(ended_s) is None


@pytest.mark.parametrize(
    ('failure', 'held_s', 'taken'),
    [
        ('a request that has not run costs units', 0.3, True),
        ('units of an old window are used now', quota_share.SHARE_S, False),
    ],
)
def test_units_of_a_request_that_has_not_run(failure, held_s, taken):
    share = quota_share.QuotaShare(0)
    share.give_back(50, held_s, 10)
    assert share.take(50, 10.5) is taken, failure


@pytest.mark.parametrize(
    ('failure', 'cost', 'jitter', 'granted'),
    [
        ('the part of the burst is not used', 50, 1, True),
        ('all instances send at once', 500, 1, False),
        ('no instance ever sends', 500, 0, True),
    ],
)
def test_an_instance_that_reaches_no_other(failure, cost, jitter, granted):
    share = quota_share.QuotaShare(0)
    decided = share.take_alone(QUOTA, quota_account.Wanted(cost), 10, 0, jitter)
    assert decided.granted is granted, failure


def test_an_instance_that_reaches_no_other_keeps_less_than_its_part():
    share = quota_share.QuotaShare(0)
    used = sum(
        share.take_alone(
            QUOTA, quota_account.Wanted(10), 10, tick / 100, 0
        ).granted
        * 10
        for tick in range(1000)
    )
    assert used <= (QUOTA.per_s * 10 + QUOTA.burst) / 10
    assert share.used_alone == used
