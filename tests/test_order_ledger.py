"""Test what is known of a server's contents, order by order."""

import pytest
import routing_parts

from oatcrank.orders import ledger, order

ENGINE = routing_parts.engine(
    routing_parts.model('m0'),
    routing_parts.model('m1'),
    routing_parts.model('m2', 50.0),
)
LATER_S = 10.0


def known(models=(), orders_taken=0):
    found = ledger.Ledger(routing_parts.registration(0))
    found.apply_report(report(models, orders_taken), LATER_S)
    return found


def report(models=(), orders_taken=0, *, busy=False, arriving=()):
    return order.Report(
        started_ms=None,
        busy=busy,
        orders_taken=orders_taken,
        adapters_by_model=dict.fromkeys(models, ()),
        arriving_adapters=arriving,
    )


def an_order(action, model, adapter=None, orders_taken=0):
    return order.Order(
        action=action,
        model=model,
        adapter=adapter,
        orders_taken=orders_taken,
        holder='instance-1',
        fence=1,
    )


LOAD = order.Action.load
UNLOAD = order.Action.unload


def test_memory_is_taken_from_the_order_on_and_given_back_when_done():
    one = known(['m0'])
    room_mb = one.free_mb(ENGINE)
    one.apply_order(an_order(LOAD, 'm1'), LATER_S, LATER_S + 1)
    assert one.free_mb(ENGINE) == room_mb - 30
    one.apply_order(an_order(UNLOAD, 'm0', orders_taken=1), LATER_S, LATER_S)
    assert one.free_mb(ENGINE) == room_mb - 30
    one.finish_order()
    assert one.free_mb(ENGINE) == room_mb


def test_all_places_for_adapters_are_set_aside():
    assert known().free_mb(ENGINE) == pytest.approx(100 - 4 * 0.1)


def test_a_report_that_may_not_show_the_last_order_is_passed_over():
    one = known(['m0'])
    one.apply_order(an_order(LOAD, 'm1'), LATER_S, LATER_S + 1)
    one.last_order_s = LATER_S
    one.apply_report(report(['m0']), LATER_S + 0.1)
    assert 'm1' in one.adapters_by_model


def test_a_load_under_way_counts_though_a_report_does_not_list_it():
    one = known(['m0'])
    one.apply_order(an_order(LOAD, 'm1'), LATER_S, LATER_S + 5)
    one.invalidate()
    one.apply_report(report(['m0'], 1, busy=True), LATER_S + 1)
    assert 'm1' in one.adapters_by_model
    assert not one.ready(LATER_S + 1)


def test_nothing_is_decided_while_another_holders_order_is_carried_out():
    one = ledger.Ledger(routing_parts.registration(0))
    one.apply_report(report(['m0'], 3, busy=True), LATER_S)
    assert not one.known
    one.apply_report(report(['m0', 'm1'], 3), LATER_S + 1)
    assert one.known


def test_an_adapter_in_use_keeps_its_place_and_its_server_busy():
    one = known(['m0'])
    one.apply_order(an_order(LOAD, 'm0', 'a1'), LATER_S, LATER_S)
    assert one.ready(LATER_S)
    one.apply_order(an_order(UNLOAD, 'm0', 'a1', 1), LATER_S, LATER_S)
    assert one.adapter_count() == 1
    assert not one.ready(LATER_S)
    one.apply_report(report(['m0'], 2), LATER_S + 1)
    assert one.adapter_count() == 0
    assert one.ready(LATER_S + 1)


def test_adapters_on_their_way_take_places():
    one = ledger.Ledger(routing_parts.registration(0))
    one.apply_report(
        report(['m0'], arriving=(('m0', 'a1'), ('m0', 'a2'))),
        LATER_S,
    )
    assert one.adapter_count() == 2


@pytest.mark.parametrize(
    ('action', 'shown', 'done'),
    [
        (LOAD, {'m0': (), 'm1': ()}, True),
        (LOAD, {'m0': ()}, False),
        (UNLOAD, {'m0': ()}, True),
        (UNLOAD, {'m0': (), 'm1': ()}, False),
    ],
)
def test_a_registration_shows_work_done(action, shown, done):
    one = known(['m0', 'm1'] if action is UNLOAD else ['m0'])
    one.apply_order(an_order(action, 'm1'), LATER_S, LATER_S + 5)
    one.apply_registration(
        routing_parts.registration(0, adapters_by_model=shown)
    )
    assert (one.active_order is None) is done


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({}, 1.0),
        ({'cached_on_disk': ('m0',)}, 0.5),
        ({'cached_in_memory': ('m0',), 'cached_on_disk': ('m0',)}, 0.2),
    ],
)
def test_copies_at_hand_load_sooner(changes, expected):
    one = ledger.Ledger(routing_parts.registration(0, **changes))
    assert one.load_s(ENGINE.model_by_name['m0']) == expected
    assert one.is_cached('m0') is bool(changes)


def test_reports_are_asked_for_at_a_bounded_rate():
    one = ledger.Ledger(routing_parts.registration(0))
    assert one.needs_report(LATER_S)
    one.note_report(LATER_S)
    assert not one.needs_report(LATER_S + 0.1)
    assert one.needs_report(LATER_S + 0.3)


def test_a_server_that_stays_unreachable_is_left_alone_longer():
    one = known()
    pauses = []
    now_s = LATER_S
    for _ in range(5):
        one.note_unreachable(now_s)
        began_s = now_s
        while not one.reachable(now_s):
            now_s += 0.5
        pauses.append(now_s - began_s)
    assert pauses == [1.0, 2.0, 4.0, 8.0, 8.0]
    one.note_reached()
    one.note_unreachable(now_s)
    assert one.reachable(now_s + ledger.INITIAL_UNREACHABLE_S)
