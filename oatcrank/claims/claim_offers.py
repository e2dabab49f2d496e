"""Hand entries to the instance that gathers a shard's batches."""

import msgspec

from oatcrank.claims import claim


class ClaimOffers(msgspec.Struct, frozen=True, kw_only=True):
    """Ask to commit entries."""

    offers: list[claim.Offer]
