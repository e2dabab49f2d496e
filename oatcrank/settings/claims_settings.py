"""Define the settings of the claims of at-most-once requests."""

from oatcrank.settings import section


class ClaimsSettings(section.Section, frozen=True, kw_only=True):
    """Settings of the claims of at-most-once requests."""

    shards: int = 4
    batch_spacing_ms: int = 20
    retention_s: int = 86_400
    kept_answer_bytes: int = 4096
