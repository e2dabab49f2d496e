"""Reply to forwarded offers with the holder of each key."""

import msgspec

from oatcrank.claims import claim_holder


class ClaimHolders(msgspec.Struct, frozen=True, kw_only=True):
    """List the holder for each offer, in order, or None for a free key."""

    holders: list[claim_holder.ClaimHolder | None]
