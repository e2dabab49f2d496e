"""Say how a wish to have something loaded has ended."""

import msgspec

from oatcrank import errors, ids


class NotOrdered(errors.OatcrankError):
    """Report that something can't be ordered now, and when to ask again."""

    def __init__(self, reason: str, again_s: float, *, hopeless: bool = False):
        """Keep whether waiting for it is of no use."""
        super().__init__(reason)
        self.again_s = again_s
        self.hopeless = hopeless


class NoPlace(NotOrdered):
    """Report that nothing may make way for a model."""


class Placed(msgspec.Struct, frozen=True, kw_only=True):
    """Say where something is held, or when to ask again, in seconds."""

    wait_s: float
    server_id: ids.ServerId | None = None
