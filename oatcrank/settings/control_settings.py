"""Time the control of pools."""

from oatcrank.settings import section


class ControlSettings(section.Section, frozen=True, kw_only=True):
    """Time the control of the pools.

    An order takes effect within delivery_delay_ms of its last send or never; a
    report shows an engine as it was at most report_lag_ms before it was asked.
    """

    lease_term_ms: int = 3000
    round_period_ms: int = 250
    delivery_delay_ms: int = 5000
    order_timeout_ms: int = 1000
    report_lag_ms: int = 2000
    report_period_ms: int = 5000
