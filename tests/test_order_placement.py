"""Replay demand against the choice of what is loaded where."""

import pytest
import routing_parts

from oatcrank.orders import (
    adapter_placement,
    demand,
    ledger,
    model_placement,
    order,
    runs,
    usage,
)
from oatcrank.routing import need

NOW_S = 100.0
SERVICE = routing_parts.SERVICE
ENGINE = routing_parts.engine(
    *(routing_parts.model(f'm{number}') for number in range(8)),
)


def fleet(*contents, **changes):
    ledgers = []
    for number, models in enumerate(contents):
        one = ledger.Ledger(routing_parts.registration(number, **changes))
        one.apply_report(
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
        ledgers.append(one)
    return ledgers


def asked(rate_by_model, *, running_by_model=None):
    """Return steady demand over the whole window."""
    found = demand.DemandWindow()
    found.extend_coverage(demand.WINDOW_S, NOW_S)
    for name, rate in rate_by_model.items():
        total = round(rate * demand.WINDOW_S)
        for second in range(10):
            found.note(
                demand.DemandSample(
                    need.Need(SERVICE, name),
                    total * (second + 1) // 10 - total * second // 10,
                    (running_by_model or {}).get(name, 0),
                    counted_s_ago=9.0 - second,
                ),
                NOW_S,
            )
    return found


def running(*uses):
    """Return what an instance has at servers: server, model, adapter."""
    found = runs.Runs()
    found.update(
        'instance-1',
        [
            runs.Running(server_id, need.Need(SERVICE, *wanted), 1)
            for server_id, *wanted in uses
        ],
        NOW_S,
    )
    return found


def weighed(ledgers, counted, now_s=NOW_S, uses=(), **changes):
    return model_placement.ModelPlacement(
        ledgers,
        ENGINE,
        usage.Usage(counted, running(*uses)),
        SERVICE,
        now_s,
        **changes,
    )


def adapters(ledgers, counted, uses=()):
    return adapter_placement.AdapterPlacement(
        ledgers,
        ENGINE,
        usage.Usage(counted, running(*uses)),
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


def carry_out(ledgers, chosen):
    """Have a server hold what was chosen for it, and drop what makes way."""
    (one,) = (
        found
        for found in ledgers
        if found.registration.server_id == chosen.server_id
    )
    for model in chosen.unload:
        del one.adapters_by_model[model]
    one.adapters_by_model[chosen.model] = set()


def test_free_memory_is_used_before_anything_makes_way():
    ledgers = fleet(['m0', 'm1', 'm2'], ['m3'])
    chosen = weighed(ledgers, asked({'m4': 0.1})).choose_first_replica(
        'm4', allow_store_load=True
    )
    assert (chosen.server_id, chosen.unload) == ('server-1', ())


def test_the_least_wanted_model_makes_way():
    ledgers = fleet(['m0', 'm1', 'm2'], ['m3', 'm4', 'm5'])
    chosen = weighed(
        ledgers,
        asked({'m0': 9, 'm1': 3, 'm2': 5, 'm3': 0, 'm4': 2, 'm5': 2, 'm6': 4}),
    ).choose_first_replica('m6', allow_store_load=True)
    assert chosen.server_id == 'server-1'
    assert chosen.unload == ('m3',)


def test_a_further_replica_makes_way_before_the_last_of_another():
    ledgers = fleet(['m0', 'm1', 'm2'], ['m0', 'm3', 'm4'])
    chosen = weighed(
        ledgers,
        asked({'m0': 2, 'm1': 1, 'm2': 1, 'm3': 1, 'm4': 1, 'm5': 1}),
    ).choose_first_replica('m5', allow_store_load=True)
    assert chosen.unload == ('m0',)


@pytest.mark.parametrize(
    ('held_rate', 'wanted_rate', 'makes_way'),
    [
        # A last replica costs what suffers while it is loaded again, and the
        # load keeps its server from others.
        (0.2, 0.4, True),
        (0.4, 1.0, True),
        (0.4, 0.4, False),
        # It doesn't make way for what is wanted far less.
        (3.0, 1.0, False),
        (20.0, 5.0, False),
    ],
)
def test_models_asked_for_now_and_then_share_a_place(
    held_rate,
    wanted_rate,
    makes_way,
):
    ledgers = fleet(['m0', 'm1', 'm2'])
    counted = asked(
        {
            'm0': held_rate,
            'm1': held_rate,
            'm2': held_rate,
            'm3': wanted_rate,
        },
    )
    chosen = weighed(ledgers, counted).choose_first_replica(
        'm3', allow_store_load=True
    )
    assert (chosen is not None) is makes_way


def test_a_model_that_is_denied_again_and_again_gets_a_place():
    """Every model stays reachable, however rarely it is asked for."""
    ledgers = fleet(['m0', 'm1', 'm2'])
    counted = asked({'m0': 0.8, 'm1': 0.8, 'm2': 0.8, 'm3': 0.3})
    placed = [
        weighed(ledgers, counted).choose_first_replica(
            'm3', allow_store_load=True, denied=times
        )
        for times in range(20)
    ]
    assert placed[0] is None
    assert placed[-1] is not None


def test_a_long_unload_is_not_worth_a_rare_model():
    """Its server takes no other order while the runs end."""
    ledgers = fleet(['m0', 'm1', 'm2'])
    rates = {'m0': 0.4, 'm1': 0.4, 'm2': 0.4, 'm3': 0.6}
    counted = asked(rates, running_by_model=dict.fromkeys(rates, 2))
    quick = weighed(ledgers, counted).choose_first_replica(
        'm3', allow_store_load=True
    )
    assert quick is not None
    busy = [('server-0', name) for name in ('m0', 'm1', 'm2')]
    slow = weighed(ledgers, counted, uses=busy).choose_first_replica(
        'm3', allow_store_load=True
    )
    assert slow is None


def test_what_was_loaded_just_now_stays():
    ledgers = fleet(['m0', 'm1', 'm2'])
    (one,) = ledgers
    one.apply_order(
        load_of('m2'),
        NOW_S,
        NOW_S,
    )
    one.finish_order()
    counted = asked({'m0': 9, 'm1': 9, 'm2': 0, 'm3': 2})
    assert (
        weighed(ledgers, counted).choose_first_replica(
            'm3', allow_store_load=True
        )
        is None
    )
    later_s = NOW_S + model_placement.MIN_RESIDENCE_S
    chosen = weighed(ledgers, counted, later_s).choose_first_replica(
        'm3', allow_store_load=True
    )
    assert chosen.unload == ('m2',)


def test_under_the_ceiling_only_cached_models_load():
    ledgers = fleet(['m0'], ['m1'])
    counted = asked({'m2': 1})
    assert (
        weighed(ledgers, counted).choose_first_replica(
            'm2', allow_store_load=False
        )
        is None
    )
    cached = fleet(['m0'], ['m1'], cached_on_disk=('m2',))
    chosen = weighed(cached, counted).choose_first_replica(
        'm2', allow_store_load=False
    )
    assert not chosen.from_store


def test_nothing_is_unloaded_before_demand_is_known():
    ledgers = fleet(['m0', 'm1', 'm2'])
    counted = demand.DemandWindow()
    counted.note(demand.DemandSample(need.Need(SERVICE, 'm3'), 5), NOW_S)
    assert (
        weighed(ledgers, counted).choose_first_replica(
            'm3', allow_store_load=True
        )
        is None
    )


def test_a_new_holder_unloads_nothing_before_it_is_told_what_runs():
    """What seems idle to it may run for seconds, and keep the server."""
    ledgers = fleet(['m0', 'm1', 'm2'])
    counted = asked({'m3': 5})
    new = weighed(ledgers, counted, reports_complete=False)
    assert new.choose_first_replica('m3', allow_store_load=True) is None
    assert weighed(ledgers, counted).choose_first_replica(
        'm3', allow_store_load=True
    )
    with_room = weighed(fleet(['m0']), counted, reports_complete=False)
    assert with_room.choose_first_replica('m3', allow_store_load=True)


@pytest.mark.parametrize(
    ('state', 'expected'),
    [('idle', True), ('busy', False), ('claimed', False), ('unknown', False)],
)
def test_only_servers_that_would_take_an_order(state, expected):
    ledgers = fleet(['m0'])
    (one,) = ledgers
    if state == 'busy':
        one.active_order = ledger.ActiveOrder(
            order=load_of('m2'),
            started_s=NOW_S,
            expected_end_s=NOW_S + 1,
        )
    elif state == 'claimed':
        one.reservation = ledger.Reservation(load='m3')
    elif state == 'unknown':
        one.invalidate()
    chosen = weighed(ledgers, asked({'m1': 1})).choose_first_replica(
        'm1', allow_store_load=True
    )
    assert (chosen is not None) is expected


@pytest.mark.parametrize(
    ('rate', 'running', 'expected'),
    [(20, 20, ['m0']), (20, 40, ['m0']), (2, 2, [])],
)
def test_a_crowded_model_wants_a_replica_and_an_idle_one_none(
    rate,
    running,
    expected,
):
    ledgers = fleet(['m0', 'm1'], ['m2'], ['m3'])
    counted = asked(
        {'m0': rate, 'm1': 1},
        running_by_model={'m0': running, 'm1': 0.5},
    )
    chosen = weighed(ledgers, counted).choose_extra_replica(
        allow_store_load=True
    )
    assert [one.model for one in (chosen,) if one] == expected


def test_a_replica_goes_where_the_fewest_requests_run():
    ledgers = fleet(['m0'], ['m1'], ['m2'])
    counted = asked(
        {'m0': 20, 'm1': 9, 'm2': 0.1},
        running_by_model={'m0': 20, 'm1': 12, 'm2': 0},
    )
    chosen = weighed(ledgers, counted).choose_extra_replica(
        allow_store_load=True
    )
    assert (chosen.model, chosen.server_id) == ('m0', 'server-2')


def test_replicas_follow_demand_that_has_moved():
    """The models in demand are spread; what nobody asks for makes way."""
    ledgers = fleet(
        ['m0', 'm1', 'm2'],
        ['m0', 'm1', 'm3'],
        ['m0', 'm1', 'm4'],
        ['m0', 'm1', 'm5'],
        ['m6', 'm7'],
        ['m6', 'm7'],
    )
    rates = {'m6': 50, 'm7': 25, **{f'm{rare}': 0.8 for rare in range(2, 6)}}
    counted = asked(rates, running_by_model={'m6': 50, 'm7': 25})
    for _ in range(12):
        chosen = weighed(ledgers, counted).choose_extra_replica(
            allow_store_load=True
        )
        if chosen is None:
            break
        carry_out(ledgers, chosen)
    assert chosen is None
    replicas = {
        name: sum(name in one.adapters_by_model for one in ledgers)
        for name in rates
    }
    assert replicas['m6'] >= 4
    assert replicas['m7'] >= 2
    assert all(replicas[f'm{rare}'] for rare in range(2, 6))


def test_a_model_in_demand_is_loaded_at_several_servers_at_once():
    """A load that is decided counts, and so does what makes way for it."""
    ledgers = fleet(['m0', 'm1', 'm2'], ['m3'], ['m4'], ['m5'])
    counted = asked({'m0': 70}, running_by_model={'m0': 70})
    servers = set()
    for _ in range(3):
        chosen = weighed(ledgers, counted).choose_extra_replica(
            allow_store_load=True
        )
        assert chosen.model == 'm0'
        servers.add(chosen.server_id)
        (one,) = (
            found
            for found in ledgers
            if found.registration.server_id == chosen.server_id
        )
        one.reservation = ledger.Reservation(load='m0')
    assert len(servers) == 3
    assert (
        weighed(ledgers, counted).choose_extra_replica(allow_store_load=True)
        is None
    )


def test_an_unload_that_would_wait_for_runs_is_avoided():
    """While it waits, its server takes no other order."""
    ledgers = fleet(['m1', 'm2', 'm6'], ['m3', 'm4', 'm7'])
    rates = dict.fromkeys(('m1', 'm2', 'm3', 'm4'), 0.5)
    rates |= {'m5': 1, 'm6': 9, 'm7': 9}
    counted = asked(rates, running_by_model=dict.fromkeys(rates, 1))
    busy = [('server-0', 'm1'), ('server-0', 'm2'), ('server-1', 'm3')]
    chosen = weighed(ledgers, counted, uses=busy).choose_first_replica(
        'm5', allow_store_load=True
    )
    assert (chosen.server_id, chosen.load_s) == (
        'server-1',
        pytest.approx(1.0 + model_placement.UNLOAD_S),
    )


def test_a_model_whose_adapters_find_no_places_wants_a_replica():
    ledgers = fleet(['m0'], ['m1'], ['m2'])
    counted = asked({'m0': 10, 'm1': 1, 'm2': 1})
    assert (
        weighed(ledgers, counted).choose_extra_replica(allow_store_load=True)
        is None
    )
    for number in range(12):
        counted.note(
            demand.DemandSample(need.Need(SERVICE, 'm0', f'a{number}'), 10),
            NOW_S,
        )
    chosen = weighed(ledgers, counted).choose_extra_replica(
        allow_store_load=True
    )
    assert chosen.model == 'm0'


def test_an_adapter_goes_where_a_place_is_free():
    ledgers = fleet(
        {'m0': ('a1', 'a2', 'a3', 'a4')},
        {'m0': ('a5',)},
    )
    chosen = adapters(ledgers, asked({})).best('m0', NOW_S)
    assert (chosen.server_id, chosen.unload) == ('server-1', None)


def test_the_adapter_asked_for_longest_ago_makes_way():
    ledgers = fleet({'m0': ('a1', 'a2', 'a3', 'a4')})
    counted = asked({})
    for number, age_s in ((1, 3.0), (2, 9.0), (3, 4.0), (4, 2.0)):
        counted.record_use(
            need.Need(SERVICE, 'm0', f'a{number}'),
            NOW_S - age_s,
        )
    chosen = adapters(ledgers, counted).best('m0', NOW_S)
    assert chosen.unload == ('m0', 'a2')


def test_an_adapter_that_runs_does_not_make_way():
    """Its server would take no order until the run has ended."""
    ledgers = fleet({'m0': ('a1', 'a2', 'a3', 'a4')})
    counted = asked({})
    for number, age_s in ((1, 3.0), (2, 9.0), (3, 4.0), (4, 2.0)):
        counted.record_use(
            need.Need(SERVICE, 'm0', f'a{number}'),
            NOW_S - age_s,
        )
    uses = [('server-0', 'm0', 'a2'), ('server-9', 'm0', 'a3')]
    chosen = adapters(ledgers, counted, uses).best('m0', NOW_S)
    assert chosen.unload == ('m0', 'a3')


def test_adapters_in_use_do_not_make_way():
    ledgers = fleet({'m0': ('a1', 'a2', 'a3', 'a4')})
    counted = asked({})
    for number in range(1, 5):
        counted.record_use(need.Need(SERVICE, 'm0', f'a{number}'), NOW_S - 0.1)
    assert adapters(ledgers, counted).best('m0', NOW_S) is None


def test_a_model_whose_requests_wait_does_not_make_way():
    """An unload would turn away all that wait at the server."""
    ledgers = fleet(['m0', 'm1', 'm2'], ['m0', 'm3', 'm4'])
    counted = asked(
        {'m0': 2, 'm1': 1, 'm2': 1, 'm3': 1, 'm4': 1, 'm5': 1},
    )
    free = weighed(ledgers, counted).choose_first_replica(
        'm5', allow_store_load=True
    )
    crowded = weighed(
        ledgers,
        counted,
        crowded=frozenset((free.server_id,)),
    ).choose_first_replica('m5', allow_store_load=True)
    assert crowded.server_id != free.server_id


def test_replicas_that_are_being_dropped_do_not_count():
    """Otherwise each makes way for the others, until none is left."""
    ledgers = fleet(['m0', 'm1', 'm2'], ['m0', 'm3', 'm4'])
    ledgers[0].apply_order(
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
    counted = asked(
        {'m0': 20, 'm1': 3, 'm2': 3, 'm3': 3, 'm4': 3, 'm5': 1},
    )
    assert (
        weighed(ledgers, counted).choose_first_replica(
            'm5', allow_store_load=True
        )
        is None
    )


@pytest.mark.parametrize('load_s', [1.0, 6.0])
@pytest.mark.parametrize(('rate', 'spared'), [(30, True), (5, False)])
def test_a_hot_model_wants_a_spare(rate, spared, load_s):
    """A server that is lost takes its models with it for as long as a load."""
    held = routing_parts.engine(
        routing_parts.model('m0', store_load_s=load_s),
        routing_parts.model('m1'),
    )
    counted = asked({'m0': rate, 'm1': 0.1}, running_by_model={'m0': 3})
    chosen = model_placement.ModelPlacement(
        fleet(['m0'], ['m1']),
        held,
        usage.Usage(counted, runs.Runs()),
        SERVICE,
        NOW_S,
    ).choose_extra_replica(allow_store_load=True)
    assert (chosen is not None) is spared
