"""Test which models get more replicas, and at which servers."""

import placement_parts
import pytest
import routing_parts

from oatcrank.orders import (
    demand,
    model_placement,
    order,
    runs,
    server_state,
    usage,
)
from oatcrank.routing import need


@pytest.mark.parametrize(
    ('rate', 'running', 'expected'),
    [(20, 20, ['m0']), (20, 40, ['m0']), (2, 2, [])],
)
def test_only_a_model_in_high_demand_gets_a_replica(
    rate,
    running,
    expected,
):
    server_states = placement_parts.fleet(['m0', 'm1'], ['m2'], ['m3'])
    window = placement_parts.steady_demand(
        {'m0': rate, 'm1': 1},
        running_by_model={'m0': running, 'm1': 0.5},
    )
    chosen = placement_parts.placement_for(
        server_states, window
    ).choose_extra_replica(allow_store_load=True)
    assert [choice.model for choice in (chosen,) if choice] == expected


def test_a_replica_goes_where_the_fewest_requests_run():
    server_states = placement_parts.fleet(['m0'], ['m1'], ['m2'])
    window = placement_parts.steady_demand(
        {'m0': 20, 'm1': 9, 'm2': 0.1},
        running_by_model={'m0': 20, 'm1': 12, 'm2': 0},
    )
    chosen = placement_parts.placement_for(
        server_states, window
    ).choose_extra_replica(allow_store_load=True)
    assert (chosen.model, chosen.server_id) == ('m0', 'server-2')


def test_replicas_follow_demand_that_has_moved():
    """Models in demand get replicas; models without demand are evicted."""
    server_states = placement_parts.fleet(
        ['m0', 'm1', 'm2'],
        ['m0', 'm1', 'm3'],
        ['m0', 'm1', 'm4'],
        ['m0', 'm1', 'm5'],
        ['m6', 'm7'],
        ['m6', 'm7'],
    )
    rates = {'m6': 50, 'm7': 25, **{f'm{rare}': 0.8 for rare in range(2, 6)}}
    window = placement_parts.steady_demand(
        rates, running_by_model={'m6': 50, 'm7': 25}
    )
    for _ in range(12):
        chosen = placement_parts.placement_for(
            server_states, window
        ).choose_extra_replica(allow_store_load=True)
        if chosen is None:
            break
        placement_parts.carry_out(server_states, chosen)
    assert chosen is None
    replicas = {
        name: sum(name in state.adapters_by_model for state in server_states)
        for name in rates
    }
    assert replicas['m6'] >= 4
    assert replicas['m7'] >= 2
    assert all(replicas[f'm{rare}'] for rare in range(2, 6))


def test_a_model_in_demand_is_loaded_at_several_servers_at_once():
    """Reserved loads count as replicas in later decisions."""
    server_states = placement_parts.fleet(
        ['m0', 'm1', 'm2'], ['m3'], ['m4'], ['m5']
    )
    window = placement_parts.steady_demand(
        {'m0': 70}, running_by_model={'m0': 70}
    )
    servers = set()
    for _ in range(3):
        chosen = placement_parts.placement_for(
            server_states, window
        ).choose_extra_replica(allow_store_load=True)
        assert chosen.model == 'm0'
        servers.add(chosen.server_id)
        (state,) = (
            entry
            for entry in server_states
            if entry.registration.server_id == chosen.server_id
        )
        state.reservation = server_state.Reservation(load='m0')
    assert len(servers) == 3
    assert (
        placement_parts.placement_for(
            server_states, window
        ).choose_extra_replica(allow_store_load=True)
        is None
    )


def test_an_unload_that_would_wait_for_runs_is_avoided():
    """The server takes no other order during the wait."""
    server_states = placement_parts.fleet(
        ['m1', 'm2', 'm6'], ['m3', 'm4', 'm7']
    )
    rates = dict.fromkeys(('m1', 'm2', 'm3', 'm4'), 0.5)
    rates |= {'m5': 1, 'm6': 9, 'm7': 9}
    window = placement_parts.steady_demand(
        rates, running_by_model=dict.fromkeys(rates, 1)
    )
    busy = [('server-0', 'm1'), ('server-0', 'm2'), ('server-1', 'm3')]
    chosen = placement_parts.placement_for(
        server_states, window, reported_runs=busy
    ).choose_first_replica('m5', allow_store_load=True)
    assert (chosen.server_id, chosen.load_s) == (
        'server-1',
        pytest.approx(1.0 + model_placement.UNLOAD_S),
    )


def test_a_model_that_lacks_adapter_slots_gets_a_replica():
    server_states = placement_parts.fleet(['m0'], ['m1'], ['m2'])
    window = placement_parts.steady_demand({'m0': 10, 'm1': 1, 'm2': 1})
    assert (
        placement_parts.placement_for(
            server_states, window
        ).choose_extra_replica(allow_store_load=True)
        is None
    )
    for number in range(12):
        window.note(
            demand.DemandSample(
                need.Need(placement_parts.SERVICE, 'm0', f'a{number}'), 10
            ),
            placement_parts.NOW_S,
        )
    chosen = placement_parts.placement_for(
        server_states, window
    ).choose_extra_replica(allow_store_load=True)
    assert chosen.model == 'm0'


def test_a_model_with_waiting_requests_is_not_evicted():
    """An unload would reject all requests that wait at the server."""
    server_states = placement_parts.fleet(
        ['m0', 'm1', 'm2'], ['m0', 'm3', 'm4']
    )
    window = placement_parts.steady_demand(
        {'m0': 2, 'm1': 1, 'm2': 1, 'm3': 1, 'm4': 1, 'm5': 1},
    )
    free = placement_parts.placement_for(
        server_states, window
    ).choose_first_replica('m5', allow_store_load=True)
    crowded = placement_parts.placement_for(
        server_states,
        window,
        crowded=frozenset((free.server_id,)),
    ).choose_first_replica('m5', allow_store_load=True)
    assert crowded.server_id != free.server_id


def test_replicas_that_are_being_unloaded_do_not_count():
    """Otherwise all replicas of a model might be evicted one by one."""
    server_states = placement_parts.fleet(
        ['m0', 'm1', 'm2'], ['m0', 'm3', 'm4']
    )
    server_states[0].apply_order(
        order.Order(
            action=order.Action.unload,
            model='m0',
            adapter=None,
            orders_taken=0,
            holder='instance-1',
            fence=1,
        ),
        placement_parts.NOW_S,
        placement_parts.NOW_S,
    )
    window = placement_parts.steady_demand(
        {'m0': 20, 'm1': 3, 'm2': 3, 'm3': 3, 'm4': 3, 'm5': 1},
    )
    assert (
        placement_parts.placement_for(
            server_states, window
        ).choose_first_replica('m5', allow_store_load=True)
        is None
    )


@pytest.mark.parametrize('load_s', [1.0, 6.0])
@pytest.mark.parametrize(('rate', 'expected'), [(30, True), (5, False)])
def test_a_model_in_high_demand_gets_a_second_replica(rate, expected, load_s):
    """After the loss of a server its models are missing until reloaded."""
    held = routing_parts.engine(
        routing_parts.model('m0', store_load_s=load_s),
        routing_parts.model('m1'),
    )
    window = placement_parts.steady_demand(
        {'m0': rate, 'm1': 0.1}, running_by_model={'m0': 3}
    )
    chosen = model_placement.ModelPlacement(
        placement_parts.fleet(['m0'], ['m1']),
        held,
        usage.Usage(window, runs.Runs()),
        placement_parts.SERVICE,
        placement_parts.NOW_S,
    ).choose_extra_replica(allow_store_load=True)
    assert (chosen is not None) is expected
