"""Choose a backend server for a request."""

import random
from collections.abc import Collection, Sequence

import xxhash

from oatcrank import ids
from oatcrank.engines import backend_server

SAMPLED = 4
LOOKED_AT = 12
SAME_DOMAIN_DISCOUNT = 0.05
PREFIX_DISCOUNT = 0.25
FULL_LOAD = 1.25


class Router:
    """Prefer low load, then a warm prefix cache, then the own domain."""

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
        avoid: Collection[ids.FailureDomain] = (),
        alone: bool = False,
    ) -> backend_server.BackendServer | None:
        """Return the best of a few servers with capacity, or None.

        A prefix prefers the server that probably caches it.  Servers in the
        failure domains to avoid are used only if no other has capacity.
        alone excludes servers that run a crash suspect.
        """
        fit = self._fitting(servers, prefix, alone=alone)
        if not fit:
            return None
        elsewhere = [
            server
            for server in fit
            if server.listed.failure_domain not in avoid
        ]
        few = self._sample(elsewhere or fit, prefix)
        favourite = _favourite(few, prefix) if prefix else None
        return min(few, key=lambda server: self._score(server, favourite))

    def _fitting(
        self,
        servers: Sequence[backend_server.BackendServer],
        prefix: str,
        *,
        alone: bool,
    ) -> list[backend_server.BackendServer]:
        """Return servers with capacity, from a sample if there are many."""
        if len(servers) > LOOKED_AT:
            few = self._random.sample(servers, LOOKED_AT)
            if prefix:
                few.append(_favourite(servers, prefix))
            found = [server for server in few if _fits(server, alone=alone)]
            if found:
                return found
        return [server for server in servers if _fits(server, alone=alone)]

    def _sample(
        self,
        servers: list[backend_server.BackendServer],
        prefix: str,
    ) -> list[backend_server.BackendServer]:
        if len(servers) <= SAMPLED:
            return servers
        few = self._random.sample(servers, SAMPLED)
        if prefix:
            few.append(_favourite(servers, prefix))
        return few

    def _score(
        self,
        server: backend_server.BackendServer,
        favourite: backend_server.BackendServer | None,
    ) -> float:
        score = server.load
        if server is favourite:
            score -= PREFIX_DISCOUNT
        if server.listed.failure_domain == self._domain:
            score -= SAME_DOMAIN_DISCOUNT
        return score


def _fits(server: backend_server.BackendServer, *, alone: bool) -> bool:
    if not server.usable or server.load >= FULL_LOAD:
        return False
    return not (alone and server.suspects)


def _favourite(
    servers: Sequence[backend_server.BackendServer],
    prefix: str,
) -> backend_server.BackendServer:
    if len(servers) > LOOKED_AT:
        # With many servers, hashing each one costs more than remapping all
        # prefixes in the rare case that the number of servers changes.
        place = xxhash.xxh3_64_intdigest(prefix.encode()) % len(servers)
        return servers[place]
    return max(
        servers,
        key=lambda server: xxhash.xxh3_64_intdigest(
            f'{server.listed.instance_id}/{prefix}'.encode(),
        ),
    )
