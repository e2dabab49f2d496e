"""Hold the latency that a profile promises."""

import msgspec

DEFAULT_PERCENTILE = 95.0


class Targets(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Bound the latency, in milliseconds, of a share of the requests."""

    first_token_ms: float
    between_tokens_ms: float
    whole_answer_ms: float
    percentile: float = DEFAULT_PERCENTILE
