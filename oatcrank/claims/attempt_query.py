"""Message that asks a claimant for the state of one of its attempts."""

import msgspec


class AttemptQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for the state of an attempt, waiting up to wait_s for its end."""

    attempt: str
    wait_s: float
