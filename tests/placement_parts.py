"""Build servers and demand for tests of the placement of models."""

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
