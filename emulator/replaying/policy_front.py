"""Draw the front of both measures over the weights."""

import pathlib
from collections.abc import Sequence

from emulator.replaying import plots, policies, trace
from oatcrank.settings import policy_settings

WEIGHTS = (
    (4, 0.25),
    (2, 0.5),
    (1, 1),
    (0.5, 2),
    (0.25, 4),
    (0.1, 8),
    (0.02, 16),
)


def draw(path: pathlib.Path, replayed: Sequence[trace.Trace]) -> None:
    """Draw each site's sums, one point for each pair of weights."""
    traces_by_site: dict[str, list[trace.Trace]] = {}
    for recorded in replayed:
        traces_by_site.setdefault(recorded.head.site, []).append(recorded)
    plots.draw(
        path,
        [
            plots.Panel(
                across=f'{site}: moves',
                up='in time per accelerator',
                marked=True,
                lines=(
                    _line('expected_gain over the weights', alike, WEIGHTS),
                    _point(policies.Policy.on_demand, alike),
                    _point(policies.Policy.static, alike),
                ),
            )
            for site, alike in traces_by_site.items()
        ],
    )


def _line(
    name: str,
    alike: Sequence[trace.Trace],
    weights: Sequence[tuple[float, float]],
) -> plots.Line:
    sums = [
        _sums(
            policies.Policy.expected_gain,
            alike,
            policy_settings.PolicySettings(
                accelerator_weight=accelerator,
                move_weight=move,
            ),
        )
        for accelerator, move in weights
    ]
    return plots.Line(
        name=name,
        across=tuple(moves for moves, _ in sums),
        up=tuple(attained for _, attained in sums),
    )


def _point(policy: policies.Policy, alike: Sequence[trace.Trace]) -> plots.Line:
    moves, attained = _sums(policy, alike, None)
    return plots.Line(name=policy.value, across=(moves,), up=(attained,))


def _sums(
    policy: policies.Policy,
    alike: Sequence[trace.Trace],
    weights: policy_settings.PolicySettings | None,
) -> tuple[float, float]:
    scores = [
        policies.replay(policy, recorded, weights).score for recorded in alike
    ]
    moves = sum(score.moves for score in scores)
    return moves, sum(score.per_accelerator for score in scores)
