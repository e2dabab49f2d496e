"""Configuration of the key-value stand-in."""

import msgspec


class KeyValueConfig(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Rate limits, where None is unlimited, and the answer delay."""

    writes_per_s: float | None = None
    reads_per_s: float | None = None
    answer_ms: float = 0
