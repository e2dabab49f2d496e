"""Say where metrics go."""

from oatcrank.settings import section


class StatsdSettings(section.Section, frozen=True, kw_only=True):
    """Say where the statsd daemon listens."""

    host: str
    port: int = 8125
    prefix: str = 'oatcrank'
