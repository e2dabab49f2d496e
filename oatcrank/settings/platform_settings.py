"""Define the addresses of the platform's services."""

from oatcrank.settings import section


class PlatformSettings(section.Section, frozen=True, kw_only=True):
    """Addresses of the platform's services, as `ip:port`."""

    key_value: str
    instance_list: str
    weight_store: str
    timeout_ms: int = 1000
    list_period_ms: int = 1000
