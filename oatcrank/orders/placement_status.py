"""Say how a wish to have something loaded has ended."""

import msgspec

from oatcrank import errors, ids


class PlacementError(errors.OatcrankError):
    """Report that something can't be ordered now, and when to ask again."""

    def __init__(
        self, reason: str, retry_after_s: float, *, unplaceable: bool = False
    ):
        """Keep whether waiting for it is of no use."""
        super().__init__(reason)
        self.retry_after_s = retry_after_s
        self.unplaceable = unplaceable


class NoCapacity(PlacementError):
    """Report that nothing may make way for a model."""


class PlacementStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Say where something is held, or when to ask again, in seconds."""

    wait_s: float
    server_id: ids.ServerId | None = None
