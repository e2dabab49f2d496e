"""Define the settings of the change log."""

from oatcrank.settings import section


class ConfigurationSettings(section.Section, frozen=True, kw_only=True):
    """Settings for reading and writing the change log."""

    watch_wait_ms: int = 10_000
    retry_ms: int = 250
    segment_changes: int = 200
    watchers_per_cell: int = 2
