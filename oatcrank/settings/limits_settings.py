"""Define the limits for callers."""

from oatcrank.settings import section

MEGABYTE = 1_048_576


class LimitsSettings(section.Section, frozen=True, kw_only=True):
    """Limits for the requests of callers to one instance."""

    body_bytes: int = MEGABYTE
    queued_per_model: int = 256
    retry_share: float = 0.2
    crashes_per_request: int = 3
    address_keep_s: int = 10
    stop_grace_s: int = 60
    memory_mb: int = 512
    descriptors: int = 4096
