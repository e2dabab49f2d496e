"""Say where the platform is."""

from oatcrank.settings import section


class PlatformSettings(section.Section, frozen=True, kw_only=True):
    """Say where the platform's services are, as `ip:port`."""

    key_value: str
    instance_list: str
    weight_store: str
    timeout_ms: int = 1000
    list_period_ms: int = 1000
