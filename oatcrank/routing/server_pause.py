"""Track for how long a server process wants no requests from this instance.

Load pattern: a server in need turns requests away and names a time, while many
requests wait for it and answers to earlier ones still arrive.  After that time
they come back gradually, so that they don't all arrive at once.
"""

import math
from collections.abc import Hashable

import msgspec

from oatcrank.routing import server_process

# Longer pauses are cut to this time.
MAX_PAUSE_S = 60.0
# Requests that wait for their answer to begin, after the end of a pause: one at
# first, one more for each answer, and with so many there is no bound any more.
FIRST_PLACES = 1
UNBOUNDED_PLACES = 16
# Time after which to look again for a place at a server that returns.
PLACE_POLL_S = 0.05
# Beyond this many, pauses that are over are forgotten.
MAX_PAUSES = 4096


class RequestedPause(msgspec.Struct, frozen=True):
    """Pause that a server asks for, in seconds.

    fault: why it is not what the server has written; empty if it is.
    """

    seconds: float
    fault: str = ''


class ServerPause:
    """Pause of one server process, and its return after it."""

    def __init__(self) -> None:
        """Start without a pause."""
        self._until_s = -math.inf
        # None if the number of requests is not bounded.
        self._places: int | None = None
        self._waiting: set[Hashable] = set()
        self._fault_reported = False

    def extend(self, until_s: float, now_s: float) -> bool:
        """Pause until a time; return whether that begins a pause.

        The longer of two pauses holds.
        """
        begins = not self.is_active(now_s)
        self._until_s = max(self._until_s, min(until_s, now_s + MAX_PAUSE_S))
        if self.is_active(now_s):
            self._places = FIRST_PLACES
            self._waiting.clear()
            return begins
        return False

    def is_active(self, now_s: float) -> bool:
        """Return whether nothing is to be sent."""
        return now_s < self._until_s

    def is_over(self, now_s: float) -> bool:
        """Return whether the server takes any number of requests."""
        return self._places is None and not self.is_active(now_s)

    def has_place(self, now_s: float) -> bool:
        """Return whether a request may be sent."""
        if self.is_active(now_s):
            return False
        return self._places is None or len(self._waiting) < self._places

    def wait_s(self, now_s: float) -> float:
        """Return how long to wait until there may be a place."""
        if self.has_place(now_s):
            return 0
        return max(PLACE_POLL_S, self._until_s - now_s)

    def begin_send(self, key: Hashable) -> None:
        """Record a request that is sent; the key identifies the send."""
        if self._places is not None:
            self._waiting.add(key)

    def record_answer(self, key: Hashable) -> bool:
        """Record that a request was taken; return whether it is the first.

        Answers to requests that were sent before the pause don't count.
        """
        if self._places is None or key not in self._waiting:
            return False
        self._waiting.discard(key)
        is_first = self._places == FIRST_PLACES
        self._places += 1
        if self._places >= UNBOUNDED_PLACES:
            self._places = None
            self._waiting.clear()
        return is_first

    def end_send(self, key: Hashable) -> None:
        """Record that a request waits no longer, with or without answer."""
        self._waiting.discard(key)

    def report_fault(self) -> bool:
        """Return whether a fault of a requested pause is to be logged."""
        is_first = not self._fault_reported
        self._fault_reported = True
        return is_first


class ServerPauses:
    """Pauses of all processes; one outlives the end of a registration."""

    def __init__(self) -> None:
        """Start without pauses."""
        self._by_process: dict[
            server_process.RegisteredProcess, ServerPause
        ] = {}

    def of(
        self, process: server_process.RegisteredProcess, now_s: float
    ) -> ServerPause:
        """Return the pause of a process, for this and all later calls."""
        known = self._by_process.get(process)
        if known is None:
            self._drop_ended(now_s)
            known = self._by_process.setdefault(process, ServerPause())
        return known

    def _drop_ended(self, now_s: float) -> None:
        if len(self._by_process) < MAX_PAUSES:
            return
        self._by_process = {
            process: pause
            for process, pause in self._by_process.items()
            if not pause.is_over(now_s)
        }
