"""Track which requests were running when backend servers crashed."""

import asyncio
import collections
from collections.abc import Awaitable, Callable

from oatcrank import clock, ids, logs
from oatcrank.engines import backend_server
from oatcrank.entry import crash

CRASH_TTL_S = 600.0
# Fingerprints of completed requests that are remembered.
MAX_COMPLETED = 8192
HEX_BASE = 16

AliveCheck = Callable[[], Awaitable[bool]]
Publish = Callable[[dict[str, int]], None]


class CrashSuspects:
    """Count crashes by request fingerprint, here and on peers.

    A request that was running at a crash is a suspect.  Suspects run on a
    server without other suspects of this instance, and before the last crash
    without those of other instances, too, so that it identifies the cause.
    If several servers of a failure domain crash together, the domain is taken
    as the cause, and only requests that ran on all of them stay suspects.
    If servers of any domains crash together, a request that completed before
    is no suspect of the first of these crashes.
    """

    def __init__(
        self,
        *,
        limit: int,
        clock: clock.Clock,
        publish: Publish,
    ) -> None:
        """Refuse after limit crashes; publish sends counts to the peers."""
        self._limit = limit
        self._clock = clock
        self._publish = publish
        self._crashes: list[crash.Crash] = []
        # The fingerprints of completed requests; those of the last ones.
        self._completed: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._counts_by_peer: dict[str, dict[int, int]] = {}
        self._check_by_server: dict[
            ids.ServerId, asyncio.Task[crash.Crash | None]
        ] = {}

    def crashes(self, fingerprint: int) -> int:
        """Return how many crashes the request may have caused."""
        return self._own_crashes(fingerprint) + sum(
            counts.get(fingerprint, 0)
            for counts in self._counts_by_peer.values()
        )

    def is_refused(self, fingerprint: int) -> bool:
        """Return whether the request has crashed too many servers."""
        return self.crashes(fingerprint) >= self._limit

    def is_refused_after_next(self, fingerprint: int) -> bool:
        """Return whether a suspect is refused after one more crash."""
        crashes = self.crashes(fingerprint)
        return crashes > 0 and crashes + 1 >= self._limit

    def clear(self, fingerprint: int) -> None:
        """Stop suspecting a request on this instance once it completed."""
        self._completed[fingerprint] = None
        self._completed.move_to_end(fingerprint)
        if len(self._completed) > MAX_COMPLETED:
            self._completed.popitem(last=False)
        if not self._own_crashes(fingerprint):
            return
        for recorded in self._crashes:
            recorded.cleared.add(fingerprint)
        self._publish_counts()

    def update_from_peer(self, peer: str, counts: dict[str, int]) -> None:
        """Replace a peer's counts, keyed by fingerprint in hexadecimal."""
        self._counts_by_peer[peer] = {
            int(fingerprint, HEX_BASE): count
            for fingerprint, count in counts.items()
        }

    async def record_interruption(
        self,
        server: backend_server.BackendServer,
        fingerprint: int,
        is_alive: AliveCheck,
    ) -> bool:
        """Record that a request was interrupted on a server.

        Returns whether the server crashed, as far as is_alive() can tell.
        """
        server_id = ids.ServerId(server.listed.instance_id)
        check = self._check_by_server.get(server_id)
        if check is None:
            check = asyncio.create_task(self._check(server, is_alive))
            self._check_by_server[server_id] = check
            check.add_done_callback(
                lambda _: self._check_by_server.pop(server_id)
            )
        new_crash = await check
        if new_crash is None:
            return False
        new_crash.running.add(fingerprint)
        new_crash.cleared.discard(fingerprint)
        logs.event(
            'crash_suspect', fingerprint=f'{fingerprint:x}', server=server_id
        )
        self._publish_counts()
        return True

    async def _check(
        self,
        server: backend_server.BackendServer,
        is_alive: AliveCheck,
    ) -> crash.Crash | None:
        if await is_alive():
            return None
        new_crash = crash.Crash(
            server=ids.ServerId(server.listed.instance_id),
            domain=server.listed.failure_domain,
            crashed_at=self._clock.now(),
        )
        self._drop_expired()
        self._crashes.append(new_crash)
        logs.event(
            'server_crashed', server=new_crash.server, domain=new_crash.domain
        )
        return new_crash

    def _own_crashes(self, fingerprint: int) -> int:
        self._drop_expired()
        times = [
            recorded.crashed_at
            for recorded in self._crashes
            if fingerprint in recorded.running - recorded.cleared
            and not recorded.is_domain_loss(self._crashes, fingerprint)
        ]
        if not times or fingerprint not in self._completed:
            return len(times)
        common_cause_ends = min(times) + crash.COMMON_CAUSE_WINDOW_S
        return sum(time > common_cause_ends for time in times)

    def _drop_expired(self) -> None:
        oldest = self._clock.now() - CRASH_TTL_S
        self._crashes = [
            recorded
            for recorded in self._crashes
            if recorded.crashed_at > oldest
        ]

    def _publish_counts(self) -> None:
        suspected = set().union(
            *(recorded.running for recorded in self._crashes)
        )
        counts = {
            fingerprint: self._own_crashes(fingerprint)
            for fingerprint in suspected
        }
        self._publish(
            {
                f'{fingerprint:x}': count
                for fingerprint, count in counts.items()
                if count
            },
        )
