"""Table of the registered backend servers."""

import asyncio
import time
from collections.abc import Iterator

from oatcrank import ids, logs
from oatcrank.routing import (
    server,
    server_registration,
    version_history,
)


class ServerTable:
    """Registered servers by id and by service."""

    def __init__(self) -> None:
        """Start without servers."""
        self.by_id: dict[ids.ServerId, server.Server] = {}
        self._by_id_by_service: dict[
            ids.ServiceName,
            dict[ids.ServerId, server.Server],
        ] = {}
        self._changed = asyncio.Event()
        self._versions = version_history.VersionHistory()
        # Monotonic time in seconds; servers that ended before are unknown.
        self.created_s = time.monotonic()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Return after the next change or the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def notify_change(self) -> None:
        """Wake all tasks that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    def of_service(self, name: ids.ServiceName) -> Iterator[server.Server]:
        """Yield the servers of a service."""
        yield from self._by_id_by_service.get(name, {}).values()

    def services(self) -> tuple[ids.ServiceName, ...]:
        """Return the services that have had servers."""
        return tuple(self._by_id_by_service)

    def versions_since(
        self, service: ids.ServiceName, since_s: float
    ) -> set[ids.SoftwareVersion]:
        """Return the software versions that a service has had since a time."""
        versions = self._versions.versions_since(service, since_s)
        versions.update(
            registered.registration.software_version
            for registered in self.of_service(service)
        )
        return versions

    def put(
        self, registration: server_registration.Registration
    ) -> server.Server:
        """Add a server, update it, or replace its earlier process."""
        existing = self.by_id.get(registration.server_id)
        self._record_version(registration)
        if (
            existing is not None
            and registration.started_ms < existing.registration.started_ms
        ):
            # A delayed registration of an earlier process.
            return existing
        if existing is not None and existing.registration.is_same_process(
            registration
        ):
            if registration.leaving and not existing.registration.leaving:
                logs.event('server_leaving', server=registration.server_id)
            existing.update_registration(registration)
            self.notify_change()
            return existing
        if existing is not None:
            self.remove(registration.server_id, 'replaced')
        added = server.Server(registration)
        self.by_id[registration.server_id] = added
        by_id = self._by_id_by_service.setdefault(registration.service, {})
        by_id[registration.server_id] = added
        self.notify_change()
        logs.event(
            'server_registered',
            server=registration.server_id,
            service=registration.service,
            address=f'{registration.host}:{registration.port}',
            version=registration.software_version,
        )
        return added

    def remove(self, server_id: ids.ServerId, reason: str) -> None:
        """Remove a server and close its connections."""
        existing = self.by_id.pop(server_id, None)
        if existing is None:
            return
        self._record_version(existing.registration)
        existing.is_removed = True
        existing.pool.close()
        del self._by_id_by_service[existing.registration.service][server_id]
        logs.event('server_removed', server=server_id, reason=reason)

    def _record_version(
        self, registration: server_registration.Registration
    ) -> None:
        self._versions.record(
            registration.service,
            registration.software_version,
            time.monotonic(),
        )
