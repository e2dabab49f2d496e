"""Track which requests were running when backend servers crashed."""

import asyncio
from collections.abc import Awaitable, Callable

from oatcrank import clock, ids, logs
from oatcrank.engines import backend_server
from oatcrank.entry import crash

SUSPICION_S = 600.0
HEXADECIMAL = 16

Alive = Callable[[], Awaitable[bool]]
Publish = Callable[[dict[str, int]], None]


class CrashSuspects:
    """Count crashes by request fingerprint, here and on peers.

    A request that was running at a crash is a suspect.  Suspects run on a
    server without other suspects, so that a second crash identifies the cause.
    If several servers of a failure domain crash together, the domain is taken
    as the cause, and only requests that ran on all of them stay suspects.
    """

    def __init__(
        self,
        *,
        limit: int,
        ticker: clock.Clock,
        publish: Publish,
    ) -> None:
        """Refuse after limit crashes; publish sends counts to the peers."""
        self._limit = limit
        self._clock = ticker
        self._publish = publish
        self._crashes: list[crash.Crash] = []
        self._by_peer: dict[str, dict[int, int]] = {}
        self._checks: dict[ids.ServerId, asyncio.Task[crash.Crash | None]] = {}

    def crashes(self, fingerprint: int) -> int:
        """Return how many crashes the request may have caused."""
        return self._own(fingerprint) + sum(
            counts.get(fingerprint, 0) for counts in self._by_peer.values()
        )

    def is_refused(self, fingerprint: int) -> bool:
        """Return whether the request has crashed too many servers."""
        return self.crashes(fingerprint) >= self._limit

    def clear(self, fingerprint: int) -> None:
        """Stop suspecting a request on this instance once it completed."""
        if not self._own(fingerprint):
            return
        for known in self._crashes:
            known.cleared.add(fingerprint)
        self._tell()

    def take_from_peer(self, peer: str, counts: dict[str, int]) -> None:
        """Replace a peer's counts, keyed by fingerprint in hexadecimal."""
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
        """Record that a request was interrupted on a server.

        Returns whether the server crashed, as far as alive() can tell.
        """
        server_id = ids.ServerId(server.listed.instance_id)
        check = self._checks.get(server_id)
        if check is None:
            check = asyncio.create_task(self._check(server, alive))
            self._checks[server_id] = check
            check.add_done_callback(lambda _: self._checks.pop(server_id))
        found = await check
        if found is None:
            return False
        found.running.add(fingerprint)
        found.cleared.discard(fingerprint)
        logs.event('suspect', fingerprint=f'{fingerprint:x}', server=server_id)
        self._tell()
        return True

    async def _check(
        self,
        server: backend_server.BackendServer,
        alive: Alive,
    ) -> crash.Crash | None:
        if await alive():
            return None
        found = crash.Crash(
            server=ids.ServerId(server.listed.instance_id),
            domain=server.listed.failure_domain,
            at=self._clock.now(),
        )
        self._forget_old()
        self._crashes.append(found)
        logs.event('server_crashed', server=found.server, domain=found.domain)
        return found

    def _own(self, fingerprint: int) -> int:
        self._forget_old()
        return sum(
            fingerprint in known.running - known.cleared
            for known in self._crashes
            if not known.is_explained(self._crashes, fingerprint)
        )

    def _forget_old(self) -> None:
        oldest = self._clock.now() - SUSPICION_S
        self._crashes = [known for known in self._crashes if known.at > oldest]

    def _tell(self) -> None:
        suspected = set().union(*(known.running for known in self._crashes))
        counts = {one: self._own(one) for one in suspected}
        self._publish(
            {f'{one:x}': count for one, count in counts.items() if count},
        )
