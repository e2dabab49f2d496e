"""Define the address of the statsd daemon."""

from oatcrank.settings import section


class StatsdSettings(section.Section, frozen=True, kw_only=True):
    """Address of the statsd daemon, and the prefix of all metrics."""

    host: str
    port: int = 8125
    prefix: str = 'oatcrank'
