"""Choose the placement policy and weigh what it costs."""

from oatcrank.placing import placement_kind
from oatcrank.settings import section


class PolicySettings(section.Section, frozen=True, kw_only=True):
    """Weigh accelerators used against moves when models are placed."""

    placement: placement_kind.PlacementKind = (
        placement_kind.PlacementKind.expected_gain
    )
    accelerator_weight: float = 1
    move_weight: float = 1
