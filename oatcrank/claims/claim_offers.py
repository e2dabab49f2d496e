"""Message that forwards offers to the owner of a shard."""

import msgspec

from oatcrank.claims import claim


class ClaimOffers(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the receiver to commit the offers and return the holders."""

    offers: list[claim.Offer]
