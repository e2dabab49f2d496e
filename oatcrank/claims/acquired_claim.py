"""Result of a claim that this instance acquired."""

import dataclasses

from oatcrank.claims import claim_attempt


@dataclasses.dataclass(frozen=True)
class AcquiredClaim:
    """Hold the attempt that owns the key and may be dispatched once."""

    attempt: claim_attempt.ClaimAttempt
