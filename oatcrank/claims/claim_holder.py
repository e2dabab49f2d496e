"""Holder of a key, as derived from the claim log."""

import msgspec

from oatcrank.claims import claim


class ClaimHolder(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Hold a running claim, or the number of the record that ended it.

    tick is the log's age in seconds when the claim was made.
    """

    fingerprint: int
    tick: int
    running: claim.Claim | None = None
    ended_in: int = 0
    interrupted: bool = False

    def is_attempt(self, attempt: str) -> bool:
        """Return whether the attempt holds the key and has not ended."""
        return self.running is not None and self.running.attempt == attempt


def running_holder(entry: claim.Claim) -> ClaimHolder:
    """Return the holder that represents a running claim of this process."""
    return ClaimHolder(fingerprint=entry.fingerprint, tick=0, running=entry)
