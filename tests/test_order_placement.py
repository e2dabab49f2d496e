"""Test where models are loaded, and which ones are evicted for them."""

import placement_parts
import pytest

from oatcrank.orders import demand, model_placement, server_state
from oatcrank.routing import need


def test_free_memory_is_used_before_anything_is_evicted():
    server_states = placement_parts.fleet(['m0', 'm1', 'm2'], ['m3'])
    chosen = placement_parts.placement_for(
        server_states, placement_parts.steady_demand({'m4': 0.1})
    ).choose_first_replica('m4', allow_store_load=True)
    assert (chosen.server_id, chosen.unload) == ('server-1', ())


def test_the_model_with_the_least_demand_is_evicted():
    server_states = placement_parts.fleet(
        ['m0', 'm1', 'm2'], ['m3', 'm4', 'm5']
    )
    chosen = placement_parts.placement_for(
        server_states,
        placement_parts.steady_demand(
            {'m0': 9, 'm1': 3, 'm2': 5, 'm3': 0, 'm4': 2, 'm5': 2, 'm6': 4}
        ),
    ).choose_first_replica('m6', allow_store_load=True)
    assert chosen.server_id == 'server-1'
    assert chosen.unload == ('m3',)


def test_an_extra_replica_is_evicted_before_a_last_one():
    server_states = placement_parts.fleet(
        ['m0', 'm1', 'm2'], ['m0', 'm3', 'm4']
    )
    chosen = placement_parts.placement_for(
        server_states,
        placement_parts.steady_demand(
            {'m0': 2, 'm1': 1, 'm2': 1, 'm3': 1, 'm4': 1, 'm5': 1}
        ),
    ).choose_first_replica('m5', allow_store_load=True)
    assert chosen.unload == ('m0',)


@pytest.mark.parametrize(
    ('held_rate', 'wanted_rate', 'evicted'),
    [
        # Evicting a last replica costs the requests that are late during its
        # reload, and a load blocks its server for others.
        (0.2, 0.4, True),
        (0.4, 1.0, True),
        (0.4, 0.4, False),
        # It is not evicted for a model with far less demand.
        (3.0, 1.0, False),
        (20.0, 5.0, False),
    ],
)
def test_eviction_of_a_last_replica(
    held_rate,
    wanted_rate,
    evicted,
):
    server_states = placement_parts.fleet(['m0', 'm1', 'm2'])
    window = placement_parts.steady_demand(
        {
            'm0': held_rate,
            'm1': held_rate,
            'm2': held_rate,
            'm3': wanted_rate,
        },
    )
    chosen = placement_parts.placement_for(
        server_states, window
    ).choose_first_replica('m3', allow_store_load=True)
    assert (chosen is not None) is evicted


def test_a_model_that_is_denied_repeatedly_is_placed():
    """Every model stays reachable, however rarely it is requested."""
    server_states = placement_parts.fleet(['m0', 'm1', 'm2'])
    window = placement_parts.steady_demand(
        {'m0': 0.8, 'm1': 0.8, 'm2': 0.8, 'm3': 0.3}
    )
    placed = [
        placement_parts.placement_for(
            server_states, window
        ).choose_first_replica('m3', allow_store_load=True, denied=times)
        for times in range(20)
    ]
    assert placed[0] is None
    assert placed[-1] is not None


def test_a_long_unload_is_not_worth_a_rare_model():
    """The server takes no other order until the runs have ended."""
    server_states = placement_parts.fleet(['m0', 'm1', 'm2'])
    rates = {'m0': 0.4, 'm1': 0.4, 'm2': 0.4, 'm3': 0.6}
    window = placement_parts.steady_demand(
        rates, running_by_model=dict.fromkeys(rates, 2)
    )
    quick = placement_parts.placement_for(
        server_states, window
    ).choose_first_replica('m3', allow_store_load=True)
    assert quick is not None
    busy = [('server-0', name) for name in ('m0', 'm1', 'm2')]
    slow = placement_parts.placement_for(
        server_states, window, reported_runs=busy
    ).choose_first_replica('m3', allow_store_load=True)
    assert slow is None


def test_a_recently_loaded_model_is_not_evicted():
    server_states = placement_parts.fleet(['m0', 'm1', 'm2'])
    (state,) = server_states
    state.apply_order(
        placement_parts.load_of('m2'),
        placement_parts.NOW_S,
        placement_parts.NOW_S,
    )
    state.finish_order()
    window = placement_parts.steady_demand({'m0': 9, 'm1': 9, 'm2': 0, 'm3': 2})
    assert (
        placement_parts.placement_for(
            server_states, window
        ).choose_first_replica('m3', allow_store_load=True)
        is None
    )
    later_s = placement_parts.NOW_S + model_placement.MIN_RESIDENCE_S
    chosen = placement_parts.placement_for(
        server_states, window, later_s
    ).choose_first_replica('m3', allow_store_load=True)
    assert chosen.unload == ('m2',)


def test_only_cached_models_load_when_the_store_limit_is_reached():
    server_states = placement_parts.fleet(['m0'], ['m1'])
    window = placement_parts.steady_demand({'m2': 1})
    assert (
        placement_parts.placement_for(
            server_states, window
        ).choose_first_replica('m2', allow_store_load=False)
        is None
    )
    cached = placement_parts.fleet(['m0'], ['m1'], cached_on_disk=('m2',))
    chosen = placement_parts.placement_for(cached, window).choose_first_replica(
        'm2', allow_store_load=False
    )
    assert not chosen.from_store


def test_nothing_is_evicted_before_demand_is_known():
    server_states = placement_parts.fleet(['m0', 'm1', 'm2'])
    window = demand.DemandWindow()
    window.note(
        demand.DemandSample(need.Need(placement_parts.SERVICE, 'm3'), 5),
        placement_parts.NOW_S,
    )
    assert (
        placement_parts.placement_for(
            server_states, window
        ).choose_first_replica('m3', allow_store_load=True)
        is None
    )


def test_a_new_holder_evicts_nothing_before_all_runs_are_reported():
    """A model that seems idle may have long runs that block its server."""
    server_states = placement_parts.fleet(['m0', 'm1', 'm2'])
    window = placement_parts.steady_demand({'m3': 5})
    new = placement_parts.placement_for(
        server_states, window, reports_complete=False
    )
    assert new.choose_first_replica('m3', allow_store_load=True) is None
    assert placement_parts.placement_for(
        server_states, window
    ).choose_first_replica('m3', allow_store_load=True)
    with_room = placement_parts.placement_for(
        placement_parts.fleet(['m0']), window, reports_complete=False
    )
    assert with_room.choose_first_replica('m3', allow_store_load=True)


@pytest.mark.parametrize(
    ('condition', 'expected'),
    [('idle', True), ('busy', False), ('reserved', False), ('unknown', False)],
)
def test_only_servers_that_would_accept_an_order_are_chosen(
    condition, expected
):
    server_states = placement_parts.fleet(['m0'])
    (state,) = server_states
    if condition == 'busy':
        state.active_order = server_state.ActiveOrder(
            order=placement_parts.load_of('m2'),
            started_s=placement_parts.NOW_S,
            expected_end_s=placement_parts.NOW_S + 1,
        )
    elif condition == 'reserved':
        state.reservation = server_state.Reservation(load='m3')
    elif condition == 'unknown':
        state.invalidate()
    chosen = placement_parts.placement_for(
        server_states, placement_parts.steady_demand({'m1': 1})
    ).choose_first_replica('m1', allow_store_load=True)
    assert (chosen is not None) is expected
