"""Define the settings of the exchanges between instances."""

from oatcrank.settings import section


class MembershipSettings(section.Section, frozen=True, kw_only=True):
    """Settings of the exchanges with other instances."""

    exchange_period_ms: int = 500
    dead_after_ms: int = 2500
    peers_per_exchange: int = 2
    cell_size: int = 32
