"""Remember which requests were running when a backend server crashed."""

import asyncio
from collections.abc import Awaitable, Callable

from oatcrank import backend_server, clock, ids, logs

SUSPICION_S = 600.0
DOMAIN_LOSS_WINDOW_S = 2.0
HEXADECIMAL = 16

Alive = Callable[[], Awaitable[bool]]
Publish = Callable[[dict[str, int]], None]


class CrashSuspects:
    """Count crashes by fingerprint, this instance's and its peers'.

    A suspect runs on a server with no other suspect, so a second crash tells
    it from the innocent.  When servers of one failure domain go together, the
    domain is the cause and nobody is suspected.
    """

    def __init__(
        self,
        *,
        limit: int,
        ticker: clock.Clock,
        publish: Publish,
    ) -> None:
        """Refuse after limit crashes; publish tells the peers."""
        self._limit = limit
        self._clock = ticker
        self._publish = publish
        self._own: dict[int, int] = {}
        self._until: dict[int, float] = {}
        self._by_peer: dict[str, dict[int, int]] = {}
        self._blamed_by_server: dict[ids.ServerId, list[int]] = {}
        self._lost_at: dict[ids.FailureDomain, dict[ids.ServerId, float]] = {}
        self._checks: dict[ids.ServerId, asyncio.Task[bool]] = {}

    def crashes(self, fingerprint: int) -> int:
        """Return how many crashes the request may have caused."""
        self._expire(fingerprint)
        return self._own.get(fingerprint, 0) + sum(
            counts.get(fingerprint, 0) for counts in self._by_peer.values()
        )

    def is_refused(self, fingerprint: int) -> bool:
        """Tell whether the request has crashed too many servers."""
        return self.crashes(fingerprint) >= self._limit

    def clear(self, fingerprint: int) -> None:
        """Take back this instance's suspicion: the request has ended well."""
        if self._own.pop(fingerprint, 0):
            self._tell()

    def take_from_peer(self, peer: str, counts: dict[str, int]) -> None:
        """Replace what a peer counts, by fingerprint in hexadecimal."""
        self._by_peer[peer] = {
            int(fingerprint, HEXADECIMAL): count
            for fingerprint, count in counts.items()
        }

    async def interrupted(
        self,
        server: backend_server.BackendServer,
        fingerprint: int,
        alive: Alive,
    ) -> bool:
        """Blame the request if its server crashed; return whether it did."""
        server_id = ids.ServerId(server.listed.instance_id)
        check = self._checks.get(server_id)
        if check is None:
            check = asyncio.create_task(self._crashed(server, alive))
            self._checks[server_id] = check
            check.add_done_callback(lambda _: self._checks.pop(server_id))
        if not await check:
            return False
        lost = self._lost_at.get(server.listed.failure_domain, {})
        if len(lost) > 1 and not self._own.get(fingerprint):
            return True
        self._own[fingerprint] = self._own.get(fingerprint, 0) + 1
        self._until[fingerprint] = self._clock.now() + SUSPICION_S
        self._blamed_by_server.setdefault(server_id, []).append(fingerprint)
        logs.event('suspect', fingerprint=f'{fingerprint:x}', server=server_id)
        self._tell()
        return True

    async def _crashed(
        self,
        server: backend_server.BackendServer,
        alive: Alive,
    ) -> bool:
        if await alive():
            return False
        now = self._clock.now()
        server_id = ids.ServerId(server.listed.instance_id)
        domain = server.listed.failure_domain
        recent = {
            one: at
            for one, at in self._lost_at.get(domain, {}).items()
            if now - at < DOMAIN_LOSS_WINDOW_S
        }
        self._blamed_by_server[server_id] = []
        logs.event('server_crashed', server=server_id, domain=domain)
        if server.suspects:
            # The suspect explains this crash, so it says nothing of the domain.
            return True
        self._lost_at[domain] = {**recent, server_id: now}
        if len(self._lost_at[domain]) > 1:
            self._forgive(tuple(recent))
        return True

    def _forgive(self, servers: tuple[ids.ServerId, ...]) -> None:
        for server_id in servers:
            for fingerprint in self._blamed_by_server.pop(server_id, ()):
                left = self._own.get(fingerprint, 0) - 1
                if left > 0:
                    self._own[fingerprint] = left
                else:
                    self._own.pop(fingerprint, None)
        self._tell()

    def _expire(self, fingerprint: int) -> None:
        until = self._until.get(fingerprint)
        if until is not None and self._clock.now() >= until:
            self._until.pop(fingerprint)
            self._own.pop(fingerprint, None)

    def _tell(self) -> None:
        self._publish(
            {f'{one:x}': count for one, count in self._own.items()},
        )
