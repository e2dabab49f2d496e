"""Test when an instance may send orders, from times alone."""

import pytest

from oatcrank.orders import lease_term

VALIDITY_S = lease_term.VALIDITY_S
WAIT_S = VALIDITY_S + lease_term.SAFETY_MARGIN_S


LONG_AGO_S = -1e9


def acquired(*, first=False, own_orders_end_s=LONG_AGO_S):
    return lease_term.begin(
        fence=7,
        sent_s=9.9,
        now_s=10.0,
        own_orders_end_s=own_orders_end_s,
        first=first,
    )


@pytest.mark.parametrize(
    ('first', 'renewed_s', 'now_s', 'expected'),
    [
        # The first holder does not wait.
        (True, 9.9, 10.0, True),
        # A successor waits until the former's lease is certainly invalid.
        (False, 10.5, 10.6, False),
        (False, 11.0, 10.0 + WAIT_S, True),
        # The validity counts from when the renewal was sent.
        (True, 9.9, 9.9 + VALIDITY_S - 0.01, True),
        (True, 9.9, 9.9 + VALIDITY_S, False),
        (True, 20.0, 20.0 + VALIDITY_S + 5, False),
    ],
)
def test_may_order(first, renewed_s, now_s, expected):
    term = acquired(first=first)
    term.renew(renewed_s)
    assert term.may_order(now_s) is expected


def test_an_older_renewal_does_not_shorten_the_term():
    term = acquired(first=True)
    term.renew(30.0)
    term.renew(20.0)
    assert term.may_order(30.5)


def test_a_term_begins_once_the_former_holder_has_stopped():
    term = acquired()
    term.set_former_stopped(10.2, 0)
    term.renew(10.1)
    assert not term.may_order(10.1)
    assert term.may_order(10.2)


def test_an_instance_waits_for_its_own_earlier_orders():
    term = acquired(own_orders_end_s=12.0)
    term.set_former_stopped(10.2, 0)
    term.renew(11.5)
    assert not term.may_order(11.9)
    assert term.may_order(12.0)


def test_two_holders_never_overlap():
    """The successor's first order must come after the former's last."""
    former = acquired(first=True)
    renewed_s = 50.0
    former.renew(renewed_s)
    # The store may drop the lease as soon as it has answered the renewal.
    successor = lease_term.begin(
        fence=8,
        sent_s=renewed_s,
        now_s=renewed_s,
        own_orders_end_s=float('-inf'),
        first=False,
    )
    successor.renew(renewed_s + 5)
    for step in range(600):
        now_s = renewed_s + step / 100
        assert not (former.may_order(now_s) and successor.may_order(now_s))
