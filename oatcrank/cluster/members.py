"""Track the registered instances and choose those that callers should use."""

import heapq
import math

import xxhash

from oatcrank import ids
from oatcrank.cluster import member

MAX_ADDRESSES = 64
# With fewer in the caller's failure domain, others are returned as well.
MIN_NEAR_ADDRESSES = 2
# So many rankings are kept, of so many instances each.
MAX_RANKINGS = 2048
MAX_RANKED = 4


class Members:
    """Table of registered instances by id."""

    def __init__(self, own: member.Member) -> None:
        """Start with this instance alone."""
        self._own = own
        self.by_id: dict[ids.InstanceId, member.Member] = {}
        self._ranked_by_key: dict[str, list[member.Member]] = {}
        self._peak_count = 1
        self._lease_ends_s = math.inf

    @property
    def own(self) -> member.Member:
        """Return this instance."""
        return self._own

    @own.setter
    def own(self, changed: member.Member) -> None:
        self._own = changed
        self._ranked_by_key.clear()

    @property
    def peak_count(self) -> int:
        """Return the largest number of instances ever known at once."""
        return self._peak_count

    def put(self, registered: member.Member) -> None:
        """Add or replace an instance's registration."""
        self.by_id[registered.instance_id] = registered
        self._ranked_by_key.clear()
        self._peak_count = max(self._peak_count, len(self.by_id))

    def remove(self, instance_id: ids.InstanceId) -> None:
        """Remove an instance that is no longer registered."""
        self.by_id.pop(instance_id, None)
        self._ranked_by_key.clear()

    @property
    def own_is_registered(self) -> bool:
        """Return whether the others know this instance, by the store."""
        return self.own.instance_id in self.by_id

    def record_own_lease(self, ends_s: float) -> None:
        """Record when the lease of the own registration ends (boot clock)."""
        self._lease_ends_s = ends_s

    def is_own_lease_valid(self, now_s: float) -> bool:
        """Return whether the own registration can't have expired unnoticed.

        An instance that the store turns away does not see its own removal.
        """
        return now_s < self._lease_ends_s

    def others(self) -> list[member.Member]:
        """Return all other instances."""
        return [
            other
            for other in self.by_id.values()
            if other.instance_id != self.own.instance_id
        ]

    def other_caller_addresses(self) -> list[str]:
        """Return where other instances that are ready take requests."""
        return [other.caller_address for other in self.others() if other.ready]

    def ranked(self, key: str, count: int) -> list[member.Member]:
        """Return the first ready instances for a key, by rendezvous hashing.

        Instances that know the same members rank them alike.
        """
        if count > MAX_RANKED:
            return self._rank(key, count)
        ranked = self._ranked_by_key.get(key)
        if ranked is None:
            if len(self._ranked_by_key) >= MAX_RANKINGS:
                self._ranked_by_key.clear()
            ranked = self._rank(key, MAX_RANKED)
            self._ranked_by_key[key] = ranked
        return ranked[:count]

    def ranked_others(self, key: str, count: int) -> list[member.Member]:
        """Return the first other instances for a key, ready or not.

        An instance that stops still answers; one that has just started does so
        before callers use it.
        """
        others = [other for other in self.others() if other.datagram_address]
        if len(others) <= count:
            return others
        return heapq.nlargest(
            count,
            others,
            key=lambda candidate: rank(key, candidate.instance_id),
        )

    def ready_count(self) -> int:
        """Return how many instances send requests to servers."""
        return sum(each.ready for each in (self.own, *self.others()))

    def is_ranked(self, key: str, count: int) -> bool:
        """Return whether this instance is among the first ones for a key."""
        return any(
            each.instance_id == self.own.instance_id
            for each in self.ranked(key, count)
        )

    def caller_addresses(self, failure_domain: str, region: str) -> list[str]:
        """Return the addresses for a caller, near ones only if enough."""
        ready = [other for other in self.others() if other.ready]
        if self.own.ready:
            ready.append(self.own)
        near = [
            candidate
            for candidate in ready
            if candidate.failure_domain == failure_domain
        ]
        if len(near) < MIN_NEAR_ADDRESSES:
            far = [
                candidate
                for candidate in ready
                if candidate.failure_domain != failure_domain
            ]
            far.sort(key=lambda candidate: candidate.region != region)
            near.extend(far)
        return [chosen.caller_address for chosen in near][:MAX_ADDRESSES]

    def _rank(self, key: str, count: int) -> list[member.Member]:
        candidates = [
            candidate
            for candidate in (self.own, *self.others())
            if candidate.ready and candidate.datagram_address
        ]
        return heapq.nlargest(
            count,
            candidates,
            key=lambda candidate: rank(key, candidate.instance_id),
        )


def rank(key: str, instance_id: ids.InstanceId) -> int:
    """Return an instance's rank for a key; the highest is chosen."""
    return xxhash.xxh3_64_intdigest(f'{key}/{instance_id}'.encode())
