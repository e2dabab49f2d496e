"""Results of placement requests."""

import msgspec

from oatcrank import errors, ids


class PlacementError(errors.OatcrankError):
    """A model or adapter can't be placed now; says when to retry."""

    def __init__(
        self, reason: str, retry_after_s: float, *, unplaceable: bool = False
    ):
        """Set unplaceable if no retry can succeed."""
        super().__init__(reason)
        self.retry_after_s = retry_after_s
        self.unplaceable = unplaceable


class NoCapacity(PlacementError):
    """No server has memory for a model, and no model may be evicted."""


class OrderUnanswered(PlacementError):
    """An order has no answer, so its server may have carried it out."""


class PlacementStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Where a model or adapter is loaded, or after how long to ask again."""

    wait_s: float
    server_id: ids.ServerId | None = None
