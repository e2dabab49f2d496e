"""Probe whether servers accept connections, when requests wait in vain."""

import asyncio
import random

from oatcrank.routing import server, server_links, server_table
from oatcrank.transport import backend_connection, errors

CHECK_INTERVAL_S = 0.2
PROBE_TIMEOUT_S = 0.3
# One server is probed first, and others only if it does not accept.
FURTHER_PROBES = 3


class LinkProber:
    """Keep the links to servers up to date in the background."""

    def __init__(
        self,
        links: server_links.ServerLinks,
        servers: server_table.ServerTable,
        rng: random.Random,
    ) -> None:
        """Probe the registered servers of services that need it."""
        self._links = links
        self._servers = servers
        self._rng = rng

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            for name, links in tuple(self._links.by_service.items()):
                if links.needs_probe(now_s):
                    await self._probe(list(self._servers.of_service(name)))

    async def _probe(self, candidates: list[server.Server]) -> None:
        """Probe one server, and others if it does not accept."""
        if not candidates:
            return
        links = self._links.of_service(candidates[0].registration.service)
        self._rng.shuffle(candidates)
        reached = await self._reached(candidates[:1], links)
        probed = 1
        if links.is_cut or not reached:
            further = candidates[1 : 1 + FURTHER_PROBES]
            reached += await self._reached(further, links)
            probed += len(further)
        links.record_probe(
            reached=reached,
            probed=probed,
            now_s=asyncio.get_running_loop().time(),
        )

    async def _reached(
        self,
        candidates: list[server.Server],
        links: server_links.ServiceLinks,
    ) -> int:
        """Return how many servers accept a connection."""
        accepted = await asyncio.gather(
            *(_accepts(candidate) for candidate in candidates)
        )
        now_s = asyncio.get_running_loop().time()
        for candidate, is_reached in zip(candidates, accepted, strict=True):
            if is_reached:
                links.record_connected(candidate.server_id, now_s)
            else:
                links.record_failed(candidate.server_id)
        return sum(accepted)


async def _accepts(candidate: server.Server) -> bool:
    try:
        connection = await backend_connection.connect(
            candidate.registration.host,
            candidate.registration.port,
            PROBE_TIMEOUT_S,
        )
    except errors.ConnectFailed:
        return False
    connection.close()
    return True
