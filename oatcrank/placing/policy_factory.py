"""Create the placement policy that the settings select."""

from oatcrank.placing import (
    expected_gain_placement,
    on_demand_placement,
    placement,
    placement_kind,
)
from oatcrank.settings import policy_settings


def create(chosen: policy_settings.PolicySettings) -> placement.PlacementPolicy:
    """Return a new policy without history."""
    if chosen.placement is placement_kind.PlacementKind.on_demand:
        return on_demand_placement.OnDemandPlacement()
    return expected_gain_placement.ExpectedGainPlacement(chosen)
