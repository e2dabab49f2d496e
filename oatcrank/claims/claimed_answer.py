"""Hold the whole answer of an unrepeatable request."""

import msgspec


class ClaimedAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the caller got, and every resend gets again."""

    status: int
    content_type: str
    body: bytes
