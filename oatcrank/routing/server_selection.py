"""Choose a backend server: little load, few failures, warm, near.

Answers bursts (load is counted here before servers tell of it) and servers
that fail in part (they lose their share but for single trials).
"""

import random
from collections.abc import Collection, Iterable

import msgspec
import xxhash

from oatcrank import ids
from oatcrank.routing import need, server

SAME_DOMAIN_DISCOUNT = 0.06
PREFIX_DISCOUNT = 0.05
CONNECTED_DISCOUNT = 0.03
FAILURE_WEIGHT = 2.0
# Failures within this share of the best server's say nothing of a server.
TOLERATED_FAILURES = 0.25
TRIAL_SHARE = 0.02
# Equal servers are told apart by chance, within this much load.
TIE_BREAK = 0.01


class SelectionCriteria(msgspec.Struct, frozen=True, kw_only=True):
    """Say what a request would like of its server."""

    wanted: need.Need
    prefix: str = ''
    avoid: frozenset[ids.ServerId] = frozenset()
    only: frozenset[ids.ServerId] = frozenset()


class ServerSelector:
    """Score the servers that can take a request."""

    def __init__(
        self,
        failure_domain: ids.FailureDomain,
        rng: random.Random,
    ) -> None:
        """Prefer servers of one's own failure domain."""
        self._domain = failure_domain
        self._rng = rng

    def choose(
        self,
        servers: Iterable[server.Server],
        wish: SelectionCriteria,
        now_s: float,
    ) -> server.Server | None:
        """Return the best server that may be used, or None."""
        fit = [
            one
            for one in servers
            if one.is_usable(now_s)
            and one.holds(wish.wanted)
            and not one.is_skipped(wish.wanted, now_s)
        ]
        if wish.only:
            fit = [one for one in fit if one.server_id in wish.only]
        fresh = [one for one in fit if one.server_id not in wish.avoid]
        if not fresh:
            return None
        if len(fresh) > 1 and self._rng.random() < TRIAL_SHARE:
            return self._rng.choice(fresh)
        least = min(one.failure_share(now_s) for one in fresh)
        favourite = _favourite(fresh, wish.prefix) if wish.prefix else None
        return min(
            fresh,
            key=lambda one: self._score(one, least, favourite, now_s),
        )

    def _score(
        self,
        one: server.Server,
        least_failures: float,
        favourite: server.Server | None,
        now_s: float,
    ) -> float:
        score = one.load(now_s) + self._rng.random() * TIE_BREAK
        excess = one.failure_share(now_s) - least_failures
        if excess > TOLERATED_FAILURES:
            score += FAILURE_WEIGHT * excess
        if one.pool.has_idle:
            score -= CONNECTED_DISCOUNT
        if one is favourite:
            score -= PREFIX_DISCOUNT
        if one.registration.failure_domain == self._domain:
            score -= SAME_DOMAIN_DISCOUNT
        return score


def _favourite(
    servers: Collection[server.Server],
    prefix: str,
) -> server.Server:
    return max(
        servers,
        key=lambda one: xxhash.xxh3_64_intdigest(
            f'{one.server_id}/{prefix}'.encode(),
        ),
    )
