"""Test the placement of models and adapters by their demand."""

import pytest
import routing_parts

from oatcrank.orders import (
    adapter_placement,
    demand,
    model_placement,
    order,
    runs,
    server_state,
    usage,
)
from oatcrank.routing import need

NOW_S = 100.0
SERVICE = routing_parts.SERVICE
ENGINE = routing_parts.engine(
    *(routing_parts.model(f'm{number}') for number in range(8)),
)


def fleet(*contents, **changes):
    server_states = []
    for number, models in enumerate(contents):
        state = server_state.ServerState(
            routing_parts.registration(number, **changes)
        )
        state.apply_report(
            order.Report(
                started_ms=None,
                busy=False,
                orders_taken=0,
                adapters_by_model=(
                    models
                    if isinstance(models, dict)
                    else dict.fromkeys(models, ())
                ),
            ),
            NOW_S,
        )
        server_states.append(state)
    return server_states


def steady_demand(rate_by_model, *, running_by_model=None):
    """Return steady demand over the whole window."""
    window = demand.DemandWindow()
    window.extend_coverage(demand.WINDOW_S, NOW_S)
    for name, rate in rate_by_model.items():
        total = round(rate * demand.WINDOW_S)
        for second in range(10):
            window.note(
                demand.DemandSample(
                    need.Need(SERVICE, name),
                    total * (second + 1) // 10 - total * second // 10,
                    (running_by_model or {}).get(name, 0),
                    counted_s_ago=9.0 - second,
                ),
                NOW_S,
            )
    return window


def runs_of(*reported_runs):
    """Return an instance's runs, given as server, model and adapter."""
    reported = runs.Runs()
    reported.update(
        'instance-1',
        [
            runs.Running(server_id, need.Need(SERVICE, *wanted), 1)
            for server_id, *wanted in reported_runs
        ],
        NOW_S,
    )
    return reported


def placement_for(
    server_states, window, now_s=NOW_S, reported_runs=(), **changes
):
    return model_placement.ModelPlacement(
        server_states,
        ENGINE,
        usage.Usage(window, runs_of(*reported_runs)),
        SERVICE,
        now_s,
        **changes,
    )


def adapter_placement_for(server_states, window, reported_runs=()):
    return adapter_placement.AdapterPlacement(
        server_states,
        ENGINE,
        usage.Usage(window, runs_of(*reported_runs)),
        SERVICE,
    )


def load_of(name):
    return order.Order(
        action=order.Action.load,
        model=name,
        adapter=None,
        orders_taken=0,
        holder='instance-1',
        fence=1,
    )


def carry_out(server_states, chosen):
    """Apply a choice to the state of its server."""
    (state,) = (
        entry
        for entry in server_states
        if entry.registration.server_id == chosen.server_id
    )
    for model in chosen.unload:
        del state.adapters_by_model[model]
    state.adapters_by_model[chosen.model] = set()


def test_free_memory_is_used_before_anything_is_evicted():
    server_states = fleet(['m0', 'm1', 'm2'], ['m3'])
    chosen = placement_for(
        server_states, steady_demand({'m4': 0.1})
    ).choose_first_replica('m4', allow_store_load=True)
    assert (chosen.server_id, chosen.unload) == ('server-1', ())


def test_the_model_with_the_least_demand_is_evicted():
    server_states = fleet(['m0', 'm1', 'm2'], ['m3', 'm4', 'm5'])
    chosen = placement_for(
        server_states,
        steady_demand(
            {'m0': 9, 'm1': 3, 'm2': 5, 'm3': 0, 'm4': 2, 'm5': 2, 'm6': 4}
        ),
    ).choose_first_replica('m6', allow_store_load=True)
    assert chosen.server_id == 'server-1'
    assert chosen.unload == ('m3',)


def test_an_extra_replica_is_evicted_before_a_last_one():
    server_states = fleet(['m0', 'm1', 'm2'], ['m0', 'm3', 'm4'])
    chosen = placement_for(
        server_states,
        steady_demand({'m0': 2, 'm1': 1, 'm2': 1, 'm3': 1, 'm4': 1, 'm5': 1}),
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
    server_states = fleet(['m0', 'm1', 'm2'])
    window = steady_demand(
        {
            'm0': held_rate,
            'm1': held_rate,
            'm2': held_rate,
            'm3': wanted_rate,
        },
    )
    chosen = placement_for(server_states, window).choose_first_replica(
        'm3', allow_store_load=True
    )
    assert (chosen is not None) is evicted


def test_a_model_that_is_denied_repeatedly_is_placed():
    """Every model stays reachable, however rarely it is requested."""
    server_states = fleet(['m0', 'm1', 'm2'])
    window = steady_demand({'m0': 0.8, 'm1': 0.8, 'm2': 0.8, 'm3': 0.3})
    placed = [
        placement_for(server_states, window).choose_first_replica(
            'm3', allow_store_load=True, denied=times
        )
        for times in range(20)
    ]
    assert placed[0] is None
    assert placed[-1] is not None


def test_a_long_unload_is_not_worth_a_rare_model():
    """The server takes no other order until the runs have ended."""
    server_states = fleet(['m0', 'm1', 'm2'])
    rates = {'m0': 0.4, 'm1': 0.4, 'm2': 0.4, 'm3': 0.6}
    window = steady_demand(rates, running_by_model=dict.fromkeys(rates, 2))
    quick = placement_for(server_states, window).choose_first_replica(
        'm3', allow_store_load=True
    )
    assert quick is not None
    busy = [('server-0', name) for name in ('m0', 'm1', 'm2')]
    slow = placement_for(
        server_states, window, reported_runs=busy
    ).choose_first_replica('m3', allow_store_load=True)
    assert slow is None


def test_a_recently_loaded_model_is_not_evicted():
    server_states = fleet(['m0', 'm1', 'm2'])
    (state,) = server_states
    state.apply_order(
        load_of('m2'),
        NOW_S,
        NOW_S,
    )
    state.finish_order()
    window = steady_demand({'m0': 9, 'm1': 9, 'm2': 0, 'm3': 2})
    assert (
        placement_for(server_states, window).choose_first_replica(
            'm3', allow_store_load=True
        )
        is None
    )
    later_s = NOW_S + model_placement.MIN_RESIDENCE_S
    chosen = placement_for(server_states, window, later_s).choose_first_replica(
        'm3', allow_store_load=True
    )
    assert chosen.unload == ('m2',)


def test_only_cached_models_load_when_the_store_limit_is_reached():
    server_states = fleet(['m0'], ['m1'])
    window = steady_demand({'m2': 1})
    assert (
        placement_for(server_states, window).choose_first_replica(
            'm2', allow_store_load=False
        )
        is None
    )
    cached = fleet(['m0'], ['m1'], cached_on_disk=('m2',))
    chosen = placement_for(cached, window).choose_first_replica(
        'm2', allow_store_load=False
    )
    assert not chosen.from_store


def test_nothing_is_evicted_before_demand_is_known():
    server_states = fleet(['m0', 'm1', 'm2'])
    window = demand.DemandWindow()
    window.note(demand.DemandSample(need.Need(SERVICE, 'm3'), 5), NOW_S)
    assert (
        placement_for(server_states, window).choose_first_replica(
            'm3', allow_store_load=True
        )
        is None
    )


def test_a_new_holder_evicts_nothing_before_all_runs_are_reported():
    """A model that seems idle may have long runs that block its server."""
    server_states = fleet(['m0', 'm1', 'm2'])
    window = steady_demand({'m3': 5})
    new = placement_for(server_states, window, reports_complete=False)
    assert new.choose_first_replica('m3', allow_store_load=True) is None
    assert placement_for(server_states, window).choose_first_replica(
        'm3', allow_store_load=True
    )
    with_room = placement_for(fleet(['m0']), window, reports_complete=False)
    assert with_room.choose_first_replica('m3', allow_store_load=True)


@pytest.mark.parametrize(
    ('condition', 'expected'),
    [('idle', True), ('busy', False), ('reserved', False), ('unknown', False)],
)
def test_only_servers_that_would_accept_an_order_are_chosen(
    condition, expected
):
    server_states = fleet(['m0'])
    (state,) = server_states
    if condition == 'busy':
        state.active_order = server_state.ActiveOrder(
            order=load_of('m2'),
            started_s=NOW_S,
            expected_end_s=NOW_S + 1,
        )
    elif condition == 'reserved':
        state.reservation = server_state.Reservation(load='m3')
    elif condition == 'unknown':
        state.invalidate()
    chosen = placement_for(
        server_states, steady_demand({'m1': 1})
    ).choose_first_replica('m1', allow_store_load=True)
    assert (chosen is not None) is expected


@pytest.mark.parametrize(
    ('rate', 'running', 'expected'),
    [(20, 20, ['m0']), (20, 40, ['m0']), (2, 2, [])],
)
def test_only_a_model_in_high_demand_gets_a_replica(
    rate,
    running,
    expected,
):
    server_states = fleet(['m0', 'm1'], ['m2'], ['m3'])
    window = steady_demand(
        {'m0': rate, 'm1': 1},
        running_by_model={'m0': running, 'm1': 0.5},
    )
    chosen = placement_for(server_states, window).choose_extra_replica(
        allow_store_load=True
    )
    assert [choice.model for choice in (chosen,) if choice] == expected


def test_a_replica_goes_where_the_fewest_requests_run():
    server_states = fleet(['m0'], ['m1'], ['m2'])
    window = steady_demand(
        {'m0': 20, 'm1': 9, 'm2': 0.1},
        running_by_model={'m0': 20, 'm1': 12, 'm2': 0},
    )
    chosen = placement_for(server_states, window).choose_extra_replica(
        allow_store_load=True
    )
    assert (chosen.model, chosen.server_id) == ('m0', 'server-2')


def test_replicas_follow_demand_that_has_moved():
    """Models in demand get replicas; models without demand are evicted."""
    server_states = fleet(
        ['m0', 'm1', 'm2'],
        ['m0', 'm1', 'm3'],
        ['m0', 'm1', 'm4'],
        ['m0', 'm1', 'm5'],
        ['m6', 'm7'],
        ['m6', 'm7'],
    )
    rates = {'m6': 50, 'm7': 25, **{f'm{rare}': 0.8 for rare in range(2, 6)}}
    window = steady_demand(rates, running_by_model={'m6': 50, 'm7': 25})
    for _ in range(12):
        chosen = placement_for(server_states, window).choose_extra_replica(
            allow_store_load=True
        )
        if chosen is None:
            break
        carry_out(server_states, chosen)
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
    server_states = fleet(['m0', 'm1', 'm2'], ['m3'], ['m4'], ['m5'])
    window = steady_demand({'m0': 70}, running_by_model={'m0': 70})
    servers = set()
    for _ in range(3):
        chosen = placement_for(server_states, window).choose_extra_replica(
            allow_store_load=True
        )
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
        placement_for(server_states, window).choose_extra_replica(
            allow_store_load=True
        )
        is None
    )


def test_an_unload_that_would_wait_for_runs_is_avoided():
    """The server takes no other order during the wait."""
    server_states = fleet(['m1', 'm2', 'm6'], ['m3', 'm4', 'm7'])
    rates = dict.fromkeys(('m1', 'm2', 'm3', 'm4'), 0.5)
    rates |= {'m5': 1, 'm6': 9, 'm7': 9}
    window = steady_demand(rates, running_by_model=dict.fromkeys(rates, 1))
    busy = [('server-0', 'm1'), ('server-0', 'm2'), ('server-1', 'm3')]
    chosen = placement_for(
        server_states, window, reported_runs=busy
    ).choose_first_replica('m5', allow_store_load=True)
    assert (chosen.server_id, chosen.load_s) == (
        'server-1',
        pytest.approx(1.0 + model_placement.UNLOAD_S),
    )


def test_a_model_that_lacks_adapter_slots_gets_a_replica():
    server_states = fleet(['m0'], ['m1'], ['m2'])
    window = steady_demand({'m0': 10, 'm1': 1, 'm2': 1})
    assert (
        placement_for(server_states, window).choose_extra_replica(
            allow_store_load=True
        )
        is None
    )
    for number in range(12):
        window.note(
            demand.DemandSample(need.Need(SERVICE, 'm0', f'a{number}'), 10),
            NOW_S,
        )
    chosen = placement_for(server_states, window).choose_extra_replica(
        allow_store_load=True
    )
    assert chosen.model == 'm0'


def test_an_adapter_is_loaded_where_a_slot_is_free():
    server_states = fleet(
        {'m0': ('a1', 'a2', 'a3', 'a4')},
        {'m0': ('a5',)},
    )
    chosen = adapter_placement_for(server_states, steady_demand({})).choose(
        'm0', NOW_S
    )
    assert (chosen.server_id, chosen.unload) == ('server-1', None)


def test_the_least_recently_used_adapter_is_evicted():
    server_states = fleet({'m0': ('a1', 'a2', 'a3', 'a4')})
    window = steady_demand({})
    for number, age_s in ((1, 3.0), (2, 9.0), (3, 4.0), (4, 2.0)):
        window.record_use(
            need.Need(SERVICE, 'm0', f'a{number}'),
            NOW_S - age_s,
        )
    chosen = adapter_placement_for(server_states, window).choose('m0', NOW_S)
    assert chosen.unload == ('m0', 'a2')


def test_an_adapter_that_runs_is_not_evicted():
    """The server would take no order until the run has ended."""
    server_states = fleet({'m0': ('a1', 'a2', 'a3', 'a4')})
    window = steady_demand({})
    for number, age_s in ((1, 3.0), (2, 9.0), (3, 4.0), (4, 2.0)):
        window.record_use(
            need.Need(SERVICE, 'm0', f'a{number}'),
            NOW_S - age_s,
        )
    reported_runs = [('server-0', 'm0', 'a2'), ('server-9', 'm0', 'a3')]
    chosen = adapter_placement_for(server_states, window, reported_runs).choose(
        'm0', NOW_S
    )
    assert chosen.unload == ('m0', 'a3')


def test_recently_used_adapters_are_not_evicted():
    server_states = fleet({'m0': ('a1', 'a2', 'a3', 'a4')})
    window = steady_demand({})
    for number in range(1, 5):
        window.record_use(need.Need(SERVICE, 'm0', f'a{number}'), NOW_S - 0.1)
    assert (
        adapter_placement_for(server_states, window).choose('m0', NOW_S) is None
    )


def test_a_model_with_waiting_requests_is_not_evicted():
    """An unload would reject all requests that wait at the server."""
    server_states = fleet(['m0', 'm1', 'm2'], ['m0', 'm3', 'm4'])
    window = steady_demand(
        {'m0': 2, 'm1': 1, 'm2': 1, 'm3': 1, 'm4': 1, 'm5': 1},
    )
    free = placement_for(server_states, window).choose_first_replica(
        'm5', allow_store_load=True
    )
    crowded = placement_for(
        server_states,
        window,
        crowded=frozenset((free.server_id,)),
    ).choose_first_replica('m5', allow_store_load=True)
    assert crowded.server_id != free.server_id


def test_replicas_that_are_being_unloaded_do_not_count():
    """Otherwise all replicas of a model might be evicted one by one."""
    server_states = fleet(['m0', 'm1', 'm2'], ['m0', 'm3', 'm4'])
    server_states[0].apply_order(
        order.Order(
            action=order.Action.unload,
            model='m0',
            adapter=None,
            orders_taken=0,
            holder='instance-1',
            fence=1,
        ),
        NOW_S,
        NOW_S,
    )
    window = steady_demand(
        {'m0': 20, 'm1': 3, 'm2': 3, 'm3': 3, 'm4': 3, 'm5': 1},
    )
    assert (
        placement_for(server_states, window).choose_first_replica(
            'm5', allow_store_load=True
        )
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
    window = steady_demand({'m0': rate, 'm1': 0.1}, running_by_model={'m0': 3})
    chosen = model_placement.ModelPlacement(
        fleet(['m0'], ['m1']),
        held,
        usage.Usage(window, runs.Runs()),
        SERVICE,
        NOW_S,
    ).choose_extra_replica(allow_store_load=True)
    assert (chosen is not None) is expected
