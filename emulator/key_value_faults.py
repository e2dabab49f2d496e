"""Define the faults of the key-value stand-in."""

import msgspec


class KeyValueFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Active faults; each use of a counted fault decrements its count."""

    down: bool = False
    hang_s: float = 0
    lose_answers: int = 0
    lose_requests: int = 0
    stale_reads: bool = False
