"""Choose a backend server for a request."""

import random
from collections.abc import Collection, Sequence

import xxhash

from oatcrank import ids
from oatcrank.engines import backend_server

SAMPLE_SIZE = 4
MAX_SCANNED = 12
SAME_DOMAIN_DISCOUNT = 0.05
PREFIX_DISCOUNT = 0.25
# Requests per slot from which a server counts as full.
MAX_LOAD = 1.25


class Router:
    """Prefer low load, then a warm prefix cache, then the same domain."""

    def __init__(
        self,
        *,
        failure_domain: ids.FailureDomain,
        seed: int,
    ) -> None:
        """Route for an instance in the failure domain."""
        self._domain = failure_domain
        self._random = random.Random(seed)

    def choose(
        self,
        servers: Sequence[backend_server.BackendServer],
        *,
        prefix: str = '',
        avoid_domains: Collection[ids.FailureDomain] = (),
        exclude_suspects: bool = False,
    ) -> backend_server.BackendServer | None:
        """Return the best of a few servers with capacity, or None.

        A prefix prefers the server that probably caches it.  Servers in
        avoid_domains are used only if no other server has capacity.
        exclude_suspects excludes servers that run a crash suspect.
        """
        candidates = self._candidates(
            servers, prefix, exclude_suspects=exclude_suspects
        )
        if not candidates:
            return None
        preferred = [
            server
            for server in candidates
            if server.listed.failure_domain not in avoid_domains
        ]
        sample = self._sample(preferred or candidates, prefix)
        prefix_server = _prefix_server(sample, prefix) if prefix else None
        return min(
            sample, key=lambda server: self._score(server, prefix_server)
        )

    def _candidates(
        self,
        servers: Sequence[backend_server.BackendServer],
        prefix: str,
        *,
        exclude_suspects: bool,
    ) -> list[backend_server.BackendServer]:
        """Return servers with capacity, from a sample if there are many."""
        if len(servers) > MAX_SCANNED:
            sample = self._random.sample(servers, MAX_SCANNED)
            if prefix:
                sample.append(_prefix_server(servers, prefix))
            candidates = [
                server
                for server in sample
                if _has_capacity(server, exclude_suspects=exclude_suspects)
            ]
            if candidates:
                return candidates
        return [
            server
            for server in servers
            if _has_capacity(server, exclude_suspects=exclude_suspects)
        ]

    def _sample(
        self,
        servers: list[backend_server.BackendServer],
        prefix: str,
    ) -> list[backend_server.BackendServer]:
        if len(servers) <= SAMPLE_SIZE:
            return servers
        sample = self._random.sample(servers, SAMPLE_SIZE)
        if prefix:
            sample.append(_prefix_server(servers, prefix))
        return sample

    def _score(
        self,
        server: backend_server.BackendServer,
        prefix_server: backend_server.BackendServer | None,
    ) -> float:
        score = server.load
        if server is prefix_server:
            score -= PREFIX_DISCOUNT
        if server.listed.failure_domain == self._domain:
            score -= SAME_DOMAIN_DISCOUNT
        return score


def _has_capacity(
    server: backend_server.BackendServer, *, exclude_suspects: bool
) -> bool:
    if not server.usable or server.load >= MAX_LOAD:
        return False
    return not (exclude_suspects and server.suspect_count)


def _prefix_server(
    servers: Sequence[backend_server.BackendServer],
    prefix: str,
) -> backend_server.BackendServer:
    if len(servers) > MAX_SCANNED:
        # With many servers, hashing each one costs more than remapping all
        # prefixes in the rare case that the number of servers changes.
        index = xxhash.xxh3_64_intdigest(prefix.encode()) % len(servers)
        return servers[index]
    return max(
        servers,
        key=lambda server: xxhash.xxh3_64_intdigest(
            f'{server.listed.instance_id}/{prefix}'.encode(),
        ),
    )
