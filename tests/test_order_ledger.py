"""Test how the state of a server follows its orders and reports."""

import pytest
import routing_parts

from oatcrank.orders import order, server_state

ENGINE = routing_parts.engine(
    routing_parts.model('m0'),
    routing_parts.model('m1'),
    routing_parts.model('m2', 50.0),
)
LATER_S = 10.0


def known(models=(), orders_taken=0):
    state = server_state.ServerState(routing_parts.registration(0))
    state.apply_report(report(models, orders_taken), LATER_S)
    return state


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


def test_memory_is_reserved_by_an_order_and_freed_when_it_is_done():
    state = known(['m0'])
    free_mb = state.free_mb(ENGINE)
    state.apply_order(an_order(LOAD, 'm1'), LATER_S, LATER_S + 1)
    assert state.free_mb(ENGINE) == free_mb - 30
    state.apply_order(an_order(UNLOAD, 'm0', orders_taken=1), LATER_S, LATER_S)
    assert state.free_mb(ENGINE) == free_mb - 30
    state.finish_order()
    assert state.free_mb(ENGINE) == free_mb


def test_memory_for_all_adapter_slots_is_reserved():
    assert known().free_mb(ENGINE) == pytest.approx(100 - 4 * 0.1)


def test_a_report_that_may_predate_the_last_order_is_ignored():
    state = known(['m0'])
    state.apply_order(an_order(LOAD, 'm1'), LATER_S, LATER_S + 1)
    state.last_order_s = LATER_S
    state.apply_report(report(['m0']), LATER_S + 0.1)
    assert 'm1' in state.adapters_by_model


def test_an_active_load_counts_though_a_report_does_not_list_it():
    state = known(['m0'])
    state.apply_order(an_order(LOAD, 'm1'), LATER_S, LATER_S + 5)
    state.invalidate()
    state.apply_report(report(['m0'], 1, busy=True), LATER_S + 1)
    assert 'm1' in state.adapters_by_model
    assert not state.ready(LATER_S + 1)


def test_contents_are_unknown_while_another_holders_order_is_active():
    state = server_state.ServerState(routing_parts.registration(0))
    state.apply_report(report(['m0'], 3, busy=True), LATER_S)
    assert not state.known
    state.apply_report(report(['m0', 'm1'], 3), LATER_S + 1)
    assert state.known


def test_the_unload_of_an_adapter_in_use_keeps_its_server_busy():
    state = known(['m0'])
    state.apply_order(an_order(LOAD, 'm0', 'a1'), LATER_S, LATER_S)
    assert state.ready(LATER_S)
    state.apply_order(an_order(UNLOAD, 'm0', 'a1', 1), LATER_S, LATER_S)
    assert state.adapter_count() == 1
    assert not state.ready(LATER_S)
    state.apply_report(report(['m0'], 2), LATER_S + 1)
    assert state.adapter_count() == 0
    assert state.ready(LATER_S + 1)


def test_arriving_adapters_take_slots():
    state = server_state.ServerState(routing_parts.registration(0))
    state.apply_report(
        report(['m0'], arriving=(('m0', 'a1'), ('m0', 'a2'))),
        LATER_S,
    )
    assert state.adapter_count() == 2


@pytest.mark.parametrize(
    ('action', 'registered', 'completed'),
    [
        (LOAD, {'m0': (), 'm1': ()}, True),
        (LOAD, {'m0': ()}, False),
        (UNLOAD, {'m0': ()}, True),
        (UNLOAD, {'m0': (), 'm1': ()}, False),
    ],
)
def test_a_registration_completes_the_active_order(
    action, registered, completed
):
    state = known(['m0', 'm1'] if action is UNLOAD else ['m0'])
    state.apply_order(an_order(action, 'm1'), LATER_S, LATER_S + 5)
    state.apply_registration(
        routing_parts.registration(0, adapters_by_model=registered)
    )
    assert (state.active_order is None) is completed


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({}, 1.0),
        ({'cached_on_disk': ('m0',)}, 0.5),
        ({'cached_in_memory': ('m0',), 'cached_on_disk': ('m0',)}, 0.2),
    ],
)
def test_cached_models_load_sooner(changes, expected):
    state = server_state.ServerState(routing_parts.registration(0, **changes))
    assert state.load_s(ENGINE.model_by_name['m0']) == expected
    assert state.is_cached('m0') is bool(changes)


def test_reports_are_requested_at_a_limited_rate():
    state = server_state.ServerState(routing_parts.registration(0))
    assert state.needs_report(LATER_S)
    state.record_report_request(LATER_S)
    assert not state.needs_report(LATER_S + 0.1)
    assert state.needs_report(LATER_S + 0.3)


def test_an_unreachable_server_is_backed_off_exponentially():
    state = known()
    pauses = []
    now_s = LATER_S
    for _ in range(5):
        state.record_unreachable(now_s)
        began_s = now_s
        while not state.reachable(now_s):
            now_s += 0.5
        pauses.append(now_s - began_s)
    assert pauses == [1.0, 2.0, 4.0, 8.0, 8.0]
    state.record_reached()
    state.record_unreachable(now_s)
    assert state.reachable(now_s + server_state.INITIAL_UNREACHABLE_S)
