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
    """A send of an order has no answer, so the server may have taken it."""

    def __init__(self, reason: str, retry_after_s: float, *, open_: bool):
        """Set open_ if the server may still take the order."""
        super().__init__(reason, retry_after_s)
        self.open = open_


class PlacementStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Where a model or adapter is loaded, or after how long to ask again."""

    wait_s: float
    server_id: ids.ServerId | None = None
