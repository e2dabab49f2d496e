"""Tell when a change came into force on this instance."""

import msgspec


class Applied(msgspec.Struct, frozen=True):
    """Hold a change's number and the local monotonic time in seconds."""

    number: int
    at_s: float
