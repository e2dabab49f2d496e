"""Ask a claimant about one of its attempts."""

import msgspec


class AttemptQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Ask how an attempt stands, waiting a while for its end."""

    attempt: str
    wait_s: float
