"""Faults that the simple platform stand-ins share."""

import msgspec


class PlatformFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults to inject: refuse all calls, or delay them by hang_s."""

    down: bool = False
    hang_s: float = 0
