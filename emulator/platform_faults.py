"""Name the faults that simple platform stand-ins share."""

import msgspec


class PlatformFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Hold what goes wrong."""

    down: bool = False
    hang_s: float = 0
