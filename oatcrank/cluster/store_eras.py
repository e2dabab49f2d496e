"""Order the numbers that the store gives out over all its eras.

A store that returns from an older copy of itself begins a new era, in which it
gives out again the revisions and leases that were lost.
"""

from oatcrank import ids

# Fences are revisions, and must fit into the 53 bits of a JSON number.
REVISION_BITS = 40
LEASE_BITS = 64
ERA_BITS = 13
MAX_ERA = (1 << ERA_BITS) - 1
# That of a store that names no era and is never restored.
UNNAMED_ERA = ids.StoreEra(0)


def revision(era: ids.StoreEra, number: int) -> ids.Revision:
    """Return the revision that has a number in an era of the store."""
    return ids.Revision((era << REVISION_BITS) + number)


def revision_era(known: int) -> ids.StoreEra:
    """Return the era of a revision or a fence."""
    return ids.StoreEra(known >> REVISION_BITS)


def revision_number(known: int) -> int:
    """Return the number that the store gives to a revision."""
    return known & ((1 << REVISION_BITS) - 1)


def lease(era: ids.StoreEra, number: int) -> ids.LeaseId:
    """Return the lease that has a number in an era of the store."""
    return ids.LeaseId((era << LEASE_BITS) + number)


def lease_era(known: ids.LeaseId) -> ids.StoreEra:
    """Return the era in which a lease was granted."""
    return ids.StoreEra(known >> LEASE_BITS)


def lease_number(known: ids.LeaseId) -> int:
    """Return the number that the store gives to a lease."""
    return known & ((1 << LEASE_BITS) - 1)
