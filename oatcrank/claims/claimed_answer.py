"""Complete answer of an at-most-once request."""

import msgspec


class ClaimedAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the answer that the caller and every resend receive."""

    status: int
    content_type: str
    body: bytes
