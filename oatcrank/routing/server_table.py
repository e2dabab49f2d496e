"""Table of the registered backend servers."""

import asyncio
import enum
import time
from collections.abc import Callable, Iterator

import msgspec

from oatcrank import ids, logs
from oatcrank.routing import (
    leaving_processes,
    server,
    server_pause,
    server_process,
    server_registration,
    version_history,
)


class LeavingSource(enum.Enum):
    """Where this instance has learnt that a server leaves."""

    registration = 'registration'
    answer = 'answer'
    other_instance = 'instance'


LeavingListener = Callable[
    [server_process.RegisteredProcess, LeavingSource], None
]
AddedListener = Callable[[server_registration.Registration], None]


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
        self._leaving = leaving_processes.LeavingProcesses()
        self._pauses = server_pause.ServerPauses()
        self._leaving_listener: LeavingListener = _ignore_leaving
        self._added_listener: AddedListener = _ignore_added
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
        if registration.leaving:
            self._leaving.add(registration.registered_process)
        elif self._leaving.contains(registration):
            registration = msgspec.structs.replace(registration, leaving=True)
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
                _log_leaving(registration.server_id, LeavingSource.registration)
            existing.update_registration(registration)
            self.notify_change()
            return existing
        if existing is not None:
            self.remove(registration.server_id, 'replaced')
        added = server.Server(
            registration,
            self._pauses.of(registration.registered_process, time.monotonic()),
        )
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
        self._added_listener(registration)
        return added

    def listen_for_added(self, listener: AddedListener) -> None:
        """Report each process of a server when it is added."""
        self._added_listener = listener

    def listen_for_leaving(self, listener: LeavingListener) -> None:
        """Report each process that is recorded as leaving."""
        self._leaving_listener = listener

    def record_leaving(
        self,
        leaving: server_process.RegisteredProcess,
        source: LeavingSource,
    ) -> None:
        """Send no more requests to a process of a server."""
        if not self._leaving.add(leaving):
            return
        _log_leaving(leaving.process.server_id, source)
        registered = self.by_id.get(leaving.process.server_id)
        if registered is not None and self._leaving.contains(
            registered.registration
        ):
            registered.record_leaving()
            self.notify_change()
        self._leaving_listener(leaving, source)

    def accepts_sends(
        self, registration: server_registration.Registration
    ) -> bool:
        """Return whether anything may be sent to a process of a server."""
        now_s = time.monotonic()
        process = registration.registered_process
        return not (
            self._leaving.contains(registration)
            or self._pauses.of(process, now_s).is_active(now_s)
        )

    def pause(
        self,
        registration: server_registration.Registration,
        requested: server_pause.RequestedPause,
    ) -> None:
        """Send nothing to a process of a server for a time."""
        now_s = time.monotonic()
        known = self._pauses.of(registration.registered_process, now_s)
        if requested.fault and known.report_fault():
            logs.event(
                'server_pause_malformed',
                server=registration.server_id,
                error=requested.fault,
                pause_s=requested.seconds,
            )
        if known.extend(now_s + requested.seconds, now_s):
            logs.event(
                'server_paused',
                server=registration.server_id,
                pause_s=round(requested.seconds, 3),
            )

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


def _log_leaving(server_id: ids.ServerId, source: LeavingSource) -> None:
    logs.event('server_leaving', server=server_id, source=source.value)


def _ignore_leaving(
    leaving: server_process.RegisteredProcess, source: LeavingSource
) -> None:
    """Ignore a process, as long as no listener is set."""


def _ignore_added(registration: server_registration.Registration) -> None:
    """Ignore a process, as long as no listener is set."""
