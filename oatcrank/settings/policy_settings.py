"""Define the settings of the placement policy."""

from oatcrank.placing import placement_kind
from oatcrank.settings import section


class PolicySettings(section.Section, frozen=True, kw_only=True):
    """Placement policy and its weights of accelerators in use and of moves."""

    placement: placement_kind.PlacementKind = (
        placement_kind.PlacementKind.expected_gain
    )
    accelerator_weight: float = 1
    move_weight: float = 1
