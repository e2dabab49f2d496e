"""Define the limits of callers' connections."""

import msgspec


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one caller's connection; timeouts are in seconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
