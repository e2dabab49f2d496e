"""Answer entries handed over with who holds each key."""

import msgspec

from oatcrank.claims import claim_holder


class ClaimHolders(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the holder for each entry, in order, or None for a free key."""

    holders: list[claim_holder.ClaimHolder | None]
