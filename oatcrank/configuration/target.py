"""Define the latency targets of a profile."""

import msgspec

DEFAULT_PERCENTILE = 95.0


class Targets(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Set upper bounds in milliseconds for a percentile of the requests."""

    first_token_ms: float
    between_tokens_ms: float
    whole_answer_ms: float
    percentile: float = DEFAULT_PERCENTILE
