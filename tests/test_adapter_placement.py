"""Test which adapters are evicted for others."""

import placement_parts

from oatcrank.routing import need


def test_an_adapter_is_loaded_where_a_slot_is_free():
    server_states = placement_parts.fleet(
        {'m0': ('a1', 'a2', 'a3', 'a4')},
        {'m0': ('a5',)},
    )
    chosen = placement_parts.adapter_placement_for(
        server_states, placement_parts.steady_demand({})
    ).choose('m0', placement_parts.NOW_S)
    assert (chosen.server_id, chosen.unload) == ('server-1', None)


def test_the_least_recently_used_adapter_is_evicted():
    server_states = placement_parts.fleet({'m0': ('a1', 'a2', 'a3', 'a4')})
    window = placement_parts.steady_demand({})
    for number, age_s in ((1, 3.0), (2, 9.0), (3, 4.0), (4, 2.0)):
        window.record_use(
            need.Need(placement_parts.SERVICE, 'm0', f'a{number}'),
            placement_parts.NOW_S - age_s,
        )
    chosen = placement_parts.adapter_placement_for(
        server_states, window
    ).choose('m0', placement_parts.NOW_S)
    assert chosen.unload == ('m0', 'a2')


def test_an_adapter_that_runs_is_not_evicted():
    """The server would take no order until the run has ended."""
    server_states = placement_parts.fleet({'m0': ('a1', 'a2', 'a3', 'a4')})
    window = placement_parts.steady_demand({})
    for number, age_s in ((1, 3.0), (2, 9.0), (3, 4.0), (4, 2.0)):
        window.record_use(
            need.Need(placement_parts.SERVICE, 'm0', f'a{number}'),
            placement_parts.NOW_S - age_s,
        )
    reported_runs = [('server-0', 'm0', 'a2'), ('server-9', 'm0', 'a3')]
    chosen = placement_parts.adapter_placement_for(
        server_states, window, reported_runs
    ).choose('m0', placement_parts.NOW_S)
    assert chosen.unload == ('m0', 'a3')


def test_recently_used_adapters_are_not_evicted():
    server_states = placement_parts.fleet({'m0': ('a1', 'a2', 'a3', 'a4')})
    window = placement_parts.steady_demand({})
    for number in range(1, 5):
        window.record_use(
            need.Need(placement_parts.SERVICE, 'm0', f'a{number}'),
            placement_parts.NOW_S - 0.1,
        )
    assert (
        placement_parts.adapter_placement_for(server_states, window).choose(
            'm0', placement_parts.NOW_S
        )
        is None
    )
