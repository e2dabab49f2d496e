"""Select a backend server by load, failures, connections and distance.

In a burst, own requests count as load before the servers report it.  Servers
that fail some of their requests get only occasional trial requests.
"""

import random
from collections.abc import Collection, Iterable

import msgspec
import xxhash

from oatcrank import ids
from oatcrank.routing import need, server

# Subtracted from the load of a server, in requests per slot.
SAME_DOMAIN_DISCOUNT = 0.06
PREFIX_DISCOUNT = 0.05
CONNECTED_DISCOUNT = 0.03
# Requests per slot that are added for a failure share of 1.
FAILURE_WEIGHT = 2.0
# Failure shares that exceed the best server's by less are ignored.
TOLERATED_FAILURES = 0.25
# Share of the requests that go to a random server.
TRIAL_SHARE = 0.02
# Random load that is added to break ties between equal servers.
TIE_BREAK = 0.01


class SelectionCriteria(msgspec.Struct, frozen=True, kw_only=True):
    """What a request requires and prefers of its server.

    Without required_version the server may have any software version.

    prefers_idle selects by the load alone.

    Requests with the same prompt prefix prefer the same server.  If
    allowed_ids is empty, any server is allowed that is not in excluded_ids.
    """

    wanted: need.Need
    prefix: str = ''
    excluded_ids: frozenset[ids.ServerId] = frozenset()
    allowed_ids: frozenset[ids.ServerId] = frozenset()
    required_version: ids.SoftwareVersion | None = None
    prefers_idle: bool = False


class ServerSelector:
    """Score the servers that can take a request and select the best."""

    def __init__(
        self,
        failure_domain: ids.FailureDomain,
        rng: random.Random,
    ) -> None:
        """Prefer servers of the given failure domain."""
        self._domain = failure_domain
        self._rng = rng

    def choose(
        self,
        servers: Iterable[server.Server],
        criteria: SelectionCriteria,
        now_s: float,
    ) -> server.Server | None:
        """Return the best usable server, or None."""
        candidates = [
            candidate
            for candidate in servers
            if candidate.has_place(now_s)
            and candidate.holds(criteria.wanted)
            and candidate.has_version(criteria.required_version)
            and not candidate.is_skipped(criteria.wanted, now_s)
        ]
        if criteria.allowed_ids:
            candidates = [
                candidate
                for candidate in candidates
                if candidate.server_id in criteria.allowed_ids
            ]
        allowed = [
            candidate
            for candidate in candidates
            if candidate.server_id not in criteria.excluded_ids
        ]
        if not allowed:
            return None
        if criteria.prefers_idle:
            return min(allowed, key=lambda candidate: candidate.load(now_s))
        if len(allowed) > 1 and self._rng.random() < TRIAL_SHARE:
            return self._rng.choice(allowed)
        least_failures = min(
            candidate.failure_share(now_s) for candidate in allowed
        )
        preferred = (
            _preferred_for_prefix(allowed, criteria.prefix)
            if criteria.prefix
            else None
        )
        return min(
            allowed,
            key=lambda candidate: self._score(
                candidate, least_failures, preferred, now_s
            ),
        )

    def _score(
        self,
        candidate: server.Server,
        least_failures: float,
        preferred: server.Server | None,
        now_s: float,
    ) -> float:
        score = candidate.load(now_s) + self._rng.random() * TIE_BREAK
        excess_failures = candidate.failure_share(now_s) - least_failures
        if excess_failures > TOLERATED_FAILURES:
            score += FAILURE_WEIGHT * excess_failures
        if candidate.pool.has_idle:
            score -= CONNECTED_DISCOUNT
        if candidate is preferred:
            score -= PREFIX_DISCOUNT
        if candidate.registration.failure_domain == self._domain:
            score -= SAME_DOMAIN_DISCOUNT
        return score


def _preferred_for_prefix(
    servers: Collection[server.Server],
    prefix: str,
) -> server.Server:
    return max(
        servers,
        key=lambda candidate: xxhash.xxh3_64_intdigest(
            f'{candidate.server_id}/{prefix}'.encode(),
        ),
    )
