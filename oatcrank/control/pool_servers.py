"""Track a pool's servers and their reports."""

import asyncio
from collections.abc import Collection, Iterable, Mapping

from oatcrank import clock, errors, ids
from oatcrank.control import control_dependencies, received_report
from oatcrank.membership import instance_list
from oatcrank.settings import control_settings

MS_PER_S = 1000
# One lost reply may be a network error; a server counts as unresponsive
# after the second in a row.
MAX_FAILURES = 2
RETRY_DELAY_S = 1.0


class PoolServers:
    """Read the reports of a pool's servers; idle servers less often."""

    def __init__(
        self,
        pool: ids.PoolName,
        dependencies: control_dependencies.ControlDependencies,
        settings: control_settings.ControlSettings,
        clock: clock.Clock,
    ) -> None:
        """Start without servers."""
        self._pool = pool
        self._dependencies = dependencies
        self._clock = clock
        self._period_s = settings.report_period_ms / MS_PER_S
        self._timeout_s = settings.order_timeout_ms / MS_PER_S
        self._report_by_server: dict[
            ids.ServerId, received_report.ReceivedReport
        ] = {}
        self._failure_count: dict[ids.ServerId, int] = {}
        self._requested_at: dict[ids.ServerId, float] = {}
        self.instance_by_server: dict[ids.ServerId, instance_list.Instance] = {}
        self.is_list_known = False

    def clear_reports(self) -> None:
        """Drop all reports after this process stopped controlling the pool."""
        self._report_by_server.clear()

    def refresh_list(self) -> None:
        """Read the platform's list; keep the last one if it is unavailable."""
        instances = self._dependencies.listed_instances()
        if instances is None:
            return
        self.is_list_known = True
        self.instance_by_server = {
            ids.ServerId(server.instance_id): server
            for server in instances
            if server.kind is instance_list.Kind.engine
            and server.pool == self._pool
        }
        for unlisted in (
            self._report_by_server.keys() - self.instance_by_server.keys()
        ):
            self._report_by_server.pop(unlisted)
            self._failure_count.pop(unlisted, None)

    def available_reports(
        self,
    ) -> Mapping[ids.ServerId, received_report.ReceivedReport]:
        """Return the reports of the servers that respond and do not leave.

        A dead server may stay listed for long; the models in its last report
        must not count as loaded.
        """
        return {
            server: received
            for server, received in self._report_by_server.items()
            if not self.is_leaving(server) and not self._is_unresponsive(server)
        }

    def is_leaving(self, server: ids.ServerId) -> bool:
        """Return whether a server is unlisted or about to leave."""
        instance = self.instance_by_server.get(server)
        if instance is None or instance.state is instance_list.State.leaving:
            return True
        received = self._report_by_server.get(server)
        return received is not None and received.report.leaving

    async def read_reports(
        self,
        changing: Collection[ids.ServerId],
    ) -> tuple[received_report.ReceivedReport, ...]:
        """Query servers with changing replicas and servers with old reports."""
        oldest = self._clock.now() - self._period_s
        due = [
            server
            for server in self.instance_by_server
            if not self._is_in_backoff(server)
            and (
                server in changing
                or server not in self._report_by_server
                or self._report_by_server[server].requested_at <= oldest
                or server in self._failure_count
            )
        ]
        return await self.query(due)

    def _is_unresponsive(self, server: ids.ServerId) -> bool:
        return self._failure_count.get(server, 0) >= MAX_FAILURES

    def _is_in_backoff(self, server: ids.ServerId) -> bool:
        if not self._is_unresponsive(server):
            return False
        return self._clock.now() - self._requested_at[server] < RETRY_DELAY_S

    async def query(
        self,
        servers: Iterable[ids.ServerId],
    ) -> tuple[received_report.ReceivedReport, ...]:
        """Query servers and return the reports of those that respond."""
        replies = await asyncio.gather(*map(self._query, servers))
        return tuple(received for received in replies if received is not None)

    async def _query(
        self, server: ids.ServerId
    ) -> received_report.ReceivedReport | None:
        requested_at = self._clock.now()
        self._requested_at[server] = requested_at
        backend = self._dependencies.engine_of(self.instance_by_server[server])
        try:
            report = await backend.report(timeout_s=self._timeout_s)
        except (errors.PlatformError, errors.BackendError):
            self._failure_count[server] = self._failure_count.get(server, 0) + 1
            return None
        if report.server_id != server:
            return None
        self._failure_count.pop(server, None)
        received = received_report.ReceivedReport(
            requested_at=requested_at, report=report
        )
        self._report_by_server[server] = received
        return received
