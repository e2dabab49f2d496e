"""Bound what a caller may send and how long it may take."""

import msgspec


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the limits of one caller's connection."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_s: float = 3.0
    idle_s: float = 15.0
