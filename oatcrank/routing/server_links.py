"""Tell whether this instance reaches the servers of a service.

Load pattern: an instance loses the path to all servers for some seconds, while
callers go on sending to it.  Its connections hang or are reset; those that are
open may live on while new ones fail.
"""

import math

from oatcrank import ids, logs

# A request that waits longer, while no server was heard, leads to a probe.
SILENT_S = 0.5
# After a server has accepted a probe there is none for this time.
PROBED_S = 2.0
# Time between probes of servers that were not reached.
RETRY_S = 0.5
# So many servers must accept before the service counts as reached again.
MIN_REACHED = 2
# One server that is not reached has probably ended.
MIN_FAILED = 2


class ServiceLinks:
    """Links to the servers of one service."""

    def __init__(self, name: ids.ServiceName) -> None:
        """Start with the assumption that the servers are reached."""
        self._name = name
        self._heard_s = -math.inf
        self._reached_s = -math.inf
        self._probed_s = -math.inf
        self._failed_ids: set[ids.ServerId] = set()
        self._reached_ids: set[ids.ServerId] = set()
        self._waiting_since_s: dict[int, float] = {}
        self.is_cut = False

    @property
    def is_suspect(self) -> bool:
        """Return whether several servers were not reached in a row."""
        return self.is_cut or len(self._failed_ids) >= MIN_FAILED

    def is_down(self, now_s: float) -> bool:
        """Return whether requests can't be sent, by old connections either."""
        return self.is_cut and now_s - self._heard_s > SILENT_S

    def begin_wait(self, key: int, now_s: float) -> None:
        """Record that a request waits for its answer to begin."""
        self._waiting_since_s[key] = now_s

    def end_wait(self, key: int) -> None:
        """Record that a request waits no longer."""
        self._waiting_since_s.pop(key, None)

    def record_heard(self, now_s: float) -> None:
        """Record that a server has answered."""
        self._heard_s = now_s

    def record_connected(self, server_id: ids.ServerId, now_s: float) -> None:
        """Record that a server has accepted a new connection."""
        self._failed_ids.clear()
        self._reached_s = now_s
        if not self.is_cut:
            return
        self._reached_ids.add(server_id)
        if len(self._reached_ids) >= MIN_REACHED:
            self._end_cut()

    def record_failed(self, server_id: ids.ServerId) -> None:
        """Record that a server has accepted no new connection."""
        self._failed_ids.add(server_id)
        self._reached_ids.discard(server_id)

    def needs_probe(self, now_s: float) -> bool:
        """Return whether servers should be probed now."""
        if self.is_cut or self._failed_ids:
            return now_s - self._probed_s >= RETRY_S
        waiting_since_s = min(self._waiting_since_s.values(), default=now_s)
        silent_since_s = max(waiting_since_s, self._heard_s)
        if now_s - silent_since_s < SILENT_S:
            return False
        return now_s - max(self._reached_s, self._probed_s) >= PROBED_S

    def record_probe(self, *, reached: int, probed: int, now_s: float) -> None:
        """Record how many of the probed servers have accepted."""
        self._probed_s = now_s
        if self.is_cut and reached == probed:
            self._end_cut()
        elif not self.is_cut and probed and not reached:
            self.is_cut = True
            self._reached_ids.clear()
            logs.event('servers_unreachable', service=self._name, probed=probed)

    def _end_cut(self) -> None:
        self.is_cut = False
        logs.event('servers_reachable', service=self._name)


class ServerLinks:
    """Links to the servers of all services."""

    def __init__(self) -> None:
        """Start without services."""
        self.by_service: dict[ids.ServiceName, ServiceLinks] = {}

    def of_service(self, name: ids.ServiceName) -> ServiceLinks:
        """Return the links to the servers of a service."""
        links = self.by_service.get(name)
        if links is None:
            links = self.by_service.setdefault(name, ServiceLinks(name))
        return links
