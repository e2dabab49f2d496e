"""Weigh what placement costs."""

from oatcrank import section


class PolicySettings(section.Section, frozen=True, kw_only=True):
    """Weigh accelerators used against moves when models are placed."""

    accelerator_weight: float = 1
    move_weight: float = 1
