"""Placement policies that a trace can be replayed with."""

import collections
import enum

from emulator.replaying import (
    informed_placement,
    policy_harness,
    static_placement,
    trace,
)
from oatcrank import ids
from oatcrank.placing import (
    expected_gain_placement,
    on_demand_placement,
    placement,
)
from oatcrank.settings import policy_settings

TRILHA_ACCELERATOR_WEIGHT = 0.5
WEIGHTS_BY_SITE = {
    'yard': policy_settings.PolicySettings(
        accelerator_weight=2,
        move_weight=0.5,
    ),
    'trilha': policy_settings.PolicySettings(
        accelerator_weight=TRILHA_ACCELERATOR_WEIGHT,
        move_weight=2,
    ),
}


class Policy(enum.Enum):
    """Name of a placement policy."""

    static = 'static'
    on_demand = 'on_demand'
    expected_gain = 'expected_gain'
    informed = 'informed'


def weights_for_site(site: str) -> policy_settings.PolicySettings:
    """Return a site's policy weights, by default those of the settings."""
    return WEIGHTS_BY_SITE.get(site, policy_settings.PolicySettings())


def replay(
    policy: Policy,
    recorded_trace: trace.Trace,
    weights: policy_settings.PolicySettings | None = None,
) -> policy_harness.PolicyHarness:
    """Replay a trace with a policy, by default with its site's weights."""
    if policy is Policy.informed:
        return informed_placement.replay_best_plan(recorded_trace)
    if weights is None:
        weights = weights_for_site(recorded_trace.header.site)
    harness = policy_harness.PolicyHarness(
        recorded_trace,
        {
            pool.name: _new_policy(policy, recorded_trace, weights)
            for pool in recorded_trace.header.pools
        },
    )
    harness.run()
    return harness


def _new_policy(
    policy: Policy,
    recorded_trace: trace.Trace,
    weights: policy_settings.PolicySettings,
) -> placement.PlacementPolicy:
    if policy is Policy.static:
        return static_placement.StaticPlacement(_average_rates(recorded_trace))
    if policy is Policy.on_demand:
        return on_demand_placement.OnDemandPlacement()
    return expected_gain_placement.ExpectedGainPlacement(weights)


def _average_rates(recorded_trace: trace.Trace) -> dict[ids.ModelName, float]:
    count_by_model = collections.Counter(
        arrival.model for arrival in recorded_trace.arrivals
    )
    return {
        model: count / recorded_trace.header.seconds
        for model, count in count_by_model.items()
    }
