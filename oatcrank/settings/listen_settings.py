"""Say where an instance listens."""

from oatcrank.settings import section


class ListenSettings(section.Section, frozen=True, kw_only=True):
    """Say where this instance listens; host is an IP number."""

    host: str
    port: int
