"""Track for how long a server process wants no requests from this instance.

Load pattern: a server in need turns requests away and names a time, while many
requests wait for it and answers to earlier ones still arrive.  After that time
they come back gradually, so that they don't all arrive at once.
"""

import math
import weakref
from collections.abc import Hashable

import msgspec

from oatcrank.routing import server_process

# Longer pauses are cut to this time.
MAX_PAUSE_S = 60.0
# Requests that wait for their answer to begin, after the end of a pause: one at
# first, one more for each answer, and with so many there is no bound any more.
FIRST_PLACES = 1
UNBOUNDED_PLACES = 16
# A server turns requests away at once, so that one that waits longer counts as
# taken.
TAKEN_AFTER_S = 0.5
# Time after which to look again for a place at a server that returns.
PLACE_POLL_S = 0.05
# Beyond this many, those that are not active are forgotten unless in use.
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
        # Monotonic time in seconds at which each send began.
        self._began_s_by_key: dict[Hashable, float] = {}
        self._fault_reported = False

    def extend(self, until_s: float, now_s: float) -> bool:
        """Pause until a time; return whether that begins a pause.

        The longer of two pauses holds.
        """
        begins = not self.is_active(now_s)
        self._until_s = max(self._until_s, min(until_s, now_s + MAX_PAUSE_S))
        if self.is_active(now_s):
            self._places = FIRST_PLACES
            self._began_s_by_key.clear()
            return begins
        return False

    def is_active(self, now_s: float) -> bool:
        """Return whether nothing is to be sent."""
        return now_s < self._until_s

    def has_place(self, now_s: float) -> bool:
        """Return whether a request may be sent."""
        if self.is_active(now_s):
            return False
        if self._places is None:
            return True
        taken = sum(
            now_s - began_s >= TAKEN_AFTER_S
            for began_s in self._began_s_by_key.values()
        )
        return len(self._began_s_by_key) - taken < self._places + taken

    def wait_s(self, now_s: float) -> float:
        """Return how long to wait until there may be a place."""
        if self.has_place(now_s):
            return 0
        return max(PLACE_POLL_S, self._until_s - now_s)

    def begin_send(self, key: Hashable, now_s: float) -> None:
        """Record a request that is sent; the key identifies the send."""
        if self._places is not None:
            self._began_s_by_key[key] = now_s

    def record_answer(self, key: Hashable) -> bool:
        """Record that a request was taken; return whether it is the first.

        Answers to requests that were sent before the pause don't count.
        """
        if self._places is None or key not in self._began_s_by_key:
            return False
        self._began_s_by_key.pop(key, None)
        is_first = self._places == FIRST_PLACES
        self._places += 1
        if self._places >= UNBOUNDED_PLACES:
            self._places = None
            self._began_s_by_key.clear()
        return is_first

    def end_send(self, key: Hashable) -> None:
        """Record that a request waits no longer, with or without answer."""
        self._began_s_by_key.pop(key, None)

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
        self._in_use_by_process: weakref.WeakValueDictionary[
            server_process.RegisteredProcess, ServerPause
        ] = weakref.WeakValueDictionary()

    def of(
        self, process: server_process.RegisteredProcess, now_s: float
    ) -> ServerPause:
        """Return the pause of a process, for this and all later calls."""
        known = self._in_use_by_process.get(process)
        if known is None:
            self._drop_ended(now_s)
            known = ServerPause()
            self._in_use_by_process[process] = known
        self._by_process[process] = known
        return known

    def _drop_ended(self, now_s: float) -> None:
        if len(self._by_process) < MAX_PAUSES:
            return
        self._by_process = {
            process: pause
            for process, pause in self._by_process.items()
            if pause.is_active(now_s)
        }
