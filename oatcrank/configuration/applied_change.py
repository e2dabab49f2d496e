"""Define when a change was applied on this instance."""

import msgspec


class AppliedChange(msgspec.Struct, frozen=True):
    """Hold a change's number and its time on the local monotonic clock."""

    number: int
    at_s: float
