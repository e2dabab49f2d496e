"""Keep the backend servers that are registered."""

import asyncio
from collections.abc import Iterator

from oatcrank import ids, logs
from oatcrank.routing import server, server_registration


class ServerTable:
    """Hold servers by id, and by the service that they serve."""

    def __init__(self) -> None:
        """Know no server."""
        self.by_id: dict[ids.ServerId, server.Server] = {}
        self._by_id_by_service: dict[
            ids.ServiceName,
            dict[ids.ServerId, server.Server],
        ] = {}
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Return after the next change, or when the time is up."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def note_change(self) -> None:
        """Wake those that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    def of_service(self, name: ids.ServiceName) -> Iterator[server.Server]:
        """Yield the servers of a service."""
        yield from self._by_id_by_service.get(name, {}).values()

    def put(
        self, registration: server_registration.Registration
    ) -> server.Server:
        """Add a server, renew it, or replace the process before it."""
        known = self.by_id.get(registration.server_id)
        if (
            known is not None
            and registration.started_ms < known.registration.started_ms
        ):
            # A registration of an earlier process that came late.
            return known
        if known is not None and known.registration.is_same_process(
            registration
        ):
            if registration.leaving and not known.registration.leaving:
                logs.event('server_leaving', server=registration.server_id)
            known.update_registration(registration)
            self.note_change()
            return known
        if known is not None:
            self.remove(registration.server_id, 'replaced')
        added = server.Server(registration)
        self.by_id[registration.server_id] = added
        by_id = self._by_id_by_service.setdefault(registration.service, {})
        by_id[registration.server_id] = added
        self.note_change()
        logs.event(
            'server_listed',
            server=registration.server_id,
            service=registration.service,
            address=f'{registration.host}:{registration.port}',
        )
        return added

    def remove(self, server_id: ids.ServerId, reason: str) -> None:
        """Send nothing more to a server."""
        known = self.by_id.pop(server_id, None)
        if known is None:
            return
        known.is_removed = True
        known.pool.close()
        del self._by_id_by_service[known.registration.service][server_id]
        logs.event('server_removed', server=server_id, reason=reason)
