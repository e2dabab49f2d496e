"""Choose the instances that follow the store for their failure domain.

Load pattern: each change of the store ends the watch of every instance that
follows it, so the calls to the store grow with changes x instances.
"""

from collections.abc import Iterable

import xxhash

from oatcrank import ids
from oatcrank.cluster import member

# With two, changes arrive while one of them is frozen, slow or cut off.
RELAYS_PER_DOMAIN = 2


def relays(
    members: Iterable[member.Member], domain: ids.FailureDomain
) -> list[member.Member]:
    """Return the relays of a failure domain.

    Instances that know the same members choose the same ones.  They need not
    agree: whoever is asked answers from what it knows, and says how old it is.
    """
    candidates = [
        candidate
        for candidate in members
        if candidate.ready and candidate.failure_domain == domain
    ]
    candidates.sort(key=_weight, reverse=True)
    return candidates[:RELAYS_PER_DOMAIN]


def checker(members: Iterable[member.Member]) -> member.Member | None:
    """Return the instance that checks the store for all; None without any.

    It is a relay of its failure domain.
    """
    ready = (candidate for candidate in members if candidate.ready)
    return max(ready, key=_weight, default=None)


def _weight(candidate: member.Member) -> tuple[int, str]:
    hashed = xxhash.xxh3_64_intdigest(
        f'store-relay/{candidate.instance_id}'.encode()
    )
    return hashed, candidate.instance_id
