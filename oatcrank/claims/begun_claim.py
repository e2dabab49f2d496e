"""Tell a caller that its attempt holds the key."""

import dataclasses

from oatcrank.claims import claim_attempt


@dataclasses.dataclass(frozen=True)
class Begun:
    """Carry the attempt, which may be dispatched once."""

    attempt: claim_attempt.ClaimAttempt
