"""Define the listening address of an instance."""

from oatcrank.settings import section


class ListenSettings(section.Section, frozen=True, kw_only=True):
    """Listening address of this instance; host is an IP address."""

    host: str
    port: int
