"""Plot requests that met their targets against moves, over the weights."""

import pathlib
from collections.abc import Sequence

from emulator.replaying import plots, policies, trace
from oatcrank.settings import policy_settings

WEIGHT_PAIRS = (
    (4, 0.25),
    (2, 0.5),
    (1, 1),
    (0.5, 2),
    (0.25, 4),
    (0.1, 8),
    (0.02, 16),
)


def draw(path: pathlib.Path, traces: Sequence[trace.Trace]) -> None:
    """Draw each site's totals over its traces, a point per pair of weights."""
    traces_by_site: dict[str, list[trace.Trace]] = {}
    for recorded_trace in traces:
        traces_by_site.setdefault(recorded_trace.header.site, []).append(
            recorded_trace
        )
    plots.draw(
        path,
        [
            plots.Panel(
                x_label=f'{site}: moves',
                y_label='requests that met targets, per accelerator',
                show_markers=True,
                lines=(
                    _line(
                        'expected_gain over the weights',
                        site_traces,
                        WEIGHT_PAIRS,
                    ),
                    _point(policies.Policy.on_demand, site_traces),
                    _point(policies.Policy.static, site_traces),
                ),
            )
            for site, site_traces in traces_by_site.items()
        ],
    )


def _line(
    name: str,
    traces: Sequence[trace.Trace],
    weights: Sequence[tuple[float, float]],
) -> plots.Line:
    totals = [
        _totals(
            policies.Policy.expected_gain,
            traces,
            policy_settings.PolicySettings(
                accelerator_weight=accelerator,
                move_weight=move,
            ),
        )
        for accelerator, move in weights
    ]
    return plots.Line(
        name=name,
        x_values=tuple(moves for moves, _ in totals),
        y_values=tuple(
            met_per_accelerator for _, met_per_accelerator in totals
        ),
    )


def _point(
    policy: policies.Policy, traces: Sequence[trace.Trace]
) -> plots.Line:
    moves, met_per_accelerator = _totals(policy, traces, None)
    return plots.Line(
        name=policy.value, x_values=(moves,), y_values=(met_per_accelerator,)
    )


def _totals(
    policy: policies.Policy,
    traces: Sequence[trace.Trace],
    weights: policy_settings.PolicySettings | None,
) -> tuple[float, float]:
    scores = [
        policies.replay(policy, recorded_trace, weights).score
        for recorded_trace in traces
    ]
    moves = sum(score.moves for score in scores)
    return moves, sum(score.per_accelerator for score in scores)
