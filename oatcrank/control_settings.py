"""Time the control of pools."""

from oatcrank import section


class ControlSettings(section.Section, frozen=True, kw_only=True):
    """Time the control of the pools."""

    lease_term_ms: int = 3000
    round_period_ms: int = 250
    delivery_delay_ms: int = 5000
    order_timeout_ms: int = 1000
