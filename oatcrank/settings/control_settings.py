"""Define the settings of pool control."""

from oatcrank.settings import section


class ControlSettings(section.Section, frozen=True, kw_only=True):
    """Settings of pool control.

    An order takes effect within delivery_delay_ms of its last send or never.
    A report shows the state of an engine at most report_lag_ms before it was
    requested.
    """

    lease_term_ms: int = 3000
    round_period_ms: int = 250
    delivery_delay_ms: int = 5000
    order_timeout_ms: int = 1000
    report_lag_ms: int = 2000
    report_period_ms: int = 5000
