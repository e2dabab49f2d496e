"""Name the faults of the key-value stand-in."""

import msgspec


class KeyValueFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Hold what goes wrong; the counts go down as they are used."""

    down: bool = False
    hang_s: float = 0
    lose_answers: int = 0
    lose_requests: int = 0
    stale_reads: bool = False
