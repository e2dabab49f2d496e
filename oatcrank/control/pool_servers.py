"""Know a pool's servers and their reports."""

import asyncio
from collections.abc import Collection, Iterable, Mapping

from oatcrank import clock, errors, ids
from oatcrank.control import control_ports, seen_report
from oatcrank.membership import instance_list
from oatcrank.settings import control_settings

MS_PER_S = 1000
# One lost answer says little; a second one in a row takes the server out.
SILENT_AFTER = 2
SILENT_RETRY_S = 1.0


class PoolServers:
    """Read the reports of a pool's servers, seldom where nothing changes."""

    def __init__(
        self,
        pool: ids.PoolName,
        ports: control_ports.ControlPorts,
        settings: control_settings.ControlSettings,
        time_source: clock.Clock,
    ) -> None:
        """Know no server yet."""
        self._pool = pool
        self._ports = ports
        self._clock = time_source
        self._period_s = settings.report_period_ms / MS_PER_S
        self._timeout_s = settings.order_timeout_ms / MS_PER_S
        self._seen: dict[ids.ServerId, seen_report.SeenReport] = {}
        self._failures: dict[ids.ServerId, int] = {}
        self._asked_at: dict[ids.ServerId, float] = {}
        self.listed: dict[ids.ServerId, instance_list.Instance] = {}
        self.is_known = False

    def forget(self) -> None:
        """Drop every report, as this process controls no more."""
        self._seen.clear()

    def look(self) -> None:
        """Take the platform's list as it is now; keep it if unreadable."""
        found = self._ports.listed()
        if found is None:
            return
        self.is_known = True
        self.listed = {
            ids.ServerId(server.instance_id): server
            for server in found
            if server.kind is instance_list.Kind.engine
            and server.pool == self._pool
        }
        for gone in self._seen.keys() - self.listed.keys():
            self._seen.pop(gone)
            self._failures.pop(gone, None)

    def open(self) -> Mapping[ids.ServerId, seen_report.SeenReport]:
        """Return the reports of the servers that answer and do not leave.

        The list may show a dead server for long; what it last reported must
        not pass for models that are loaded.
        """
        return {
            server: seen
            for server, seen in self._seen.items()
            if not self.is_leaving(server) and not self._is_silent(server)
        }

    def is_leaving(self, server: ids.ServerId) -> bool:
        """Return whether a server is gone or about to go."""
        found = self.listed.get(server)
        if found is None or found.state is instance_list.State.leaving:
            return True
        seen = self._seen.get(server)
        return seen is not None and seen.report.leaving

    async def read(
        self,
        busy: Collection[ids.ServerId],
    ) -> tuple[seen_report.SeenReport, ...]:
        """Ask the busy servers, and the others whose report is old."""
        oldest = self._clock.now() - self._period_s
        wanted = [
            server
            for server in self.listed
            if not self._rests(server)
            and (
                server in busy
                or server not in self._seen
                or self._seen[server].asked <= oldest
                or server in self._failures
            )
        ]
        return await self.ask(wanted)

    def _is_silent(self, server: ids.ServerId) -> bool:
        return self._failures.get(server, 0) >= SILENT_AFTER

    def _rests(self, server: ids.ServerId) -> bool:
        if not self._is_silent(server):
            return False
        return self._clock.now() - self._asked_at[server] < SILENT_RETRY_S

    async def ask(
        self,
        servers: Iterable[ids.ServerId],
    ) -> tuple[seen_report.SeenReport, ...]:
        """Return the reports of the servers that answer."""
        answers = await asyncio.gather(*map(self._ask, servers))
        return tuple(seen for seen in answers if seen is not None)

    async def _ask(self, server: ids.ServerId) -> seen_report.SeenReport | None:
        asked = self._clock.now()
        self._asked_at[server] = asked
        backend = self._ports.engine_of(self.listed[server])
        try:
            report = await backend.report(timeout_s=self._timeout_s)
        except (errors.PlatformError, errors.BackendError):
            self._failures[server] = self._failures.get(server, 0) + 1
            return None
        if report.server_id != server:
            return None
        self._failures.pop(server, None)
        seen = seen_report.SeenReport(asked=asked, report=report)
        self._seen[server] = seen
        return seen
