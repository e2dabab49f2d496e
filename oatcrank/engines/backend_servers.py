"""Poll the platform's list of backend servers."""

import asyncio

from oatcrank import clock, errors, ids, logs
from oatcrank.engines import backend_server
from oatcrank.membership import instance_list


class BackendServers:
    """Listed backend servers by id."""

    def __init__(
        self,
        instance_list: instance_list.InstanceList,
        clock: clock.Clock,
    ) -> None:
        """Start without servers until the list has been read."""
        self.server_by_id: dict[ids.ServerId, backend_server.BackendServer] = {}
        self._entry_ids: frozenset[str] = frozenset()
        self._known_entry_ids: set[str] = set()
        self.change_count = 0
        self._instance_list = instance_list
        self._list_read = False
        self._clock = clock

    async def run(self, period_s: float) -> None:
        """Refresh the list periodically until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(period_s)

    async def refresh(self) -> None:
        """Read the list once; keep the old one if that fails."""
        try:
            listed = await self._instance_list.read()
        except errors.PlatformError as error:
            logs.event('instance_list_unavailable', error=error)
            return
        self.update(listed)

    def update(self, listed: tuple[instance_list.Instance, ...]) -> None:
        """Apply a newer list; keep the state of servers that stay listed."""
        self._list_read = True
        self._entry_ids = frozenset(
            instance.instance_id
            for instance in listed
            if instance.kind is instance_list.Kind.entry
        )
        self._known_entry_ids |= self._entry_ids
        listed_by_id = {
            ids.ServerId(instance.instance_id): instance
            for instance in listed
            if instance.kind is not instance_list.Kind.entry
        }
        for server_id in self.server_by_id.keys() - listed_by_id.keys():
            self.server_by_id.pop(server_id)
            self.change_count += 1
        for server_id, instance in listed_by_id.items():
            known = self.server_by_id.get(server_id)
            if known is None or known.listed.address != instance.address:
                self.change_count += 1
                self.server_by_id[server_id] = backend_server.BackendServer(
                    instance,
                    self._clock,
                )
            else:
                known.listed = instance

    def is_former_entry(self, instance_id: str) -> bool:
        """Return whether an entry instance is no longer listed."""
        if instance_id in self._entry_ids:
            return False
        return instance_id in self._known_entry_ids

    def listed(self) -> tuple[instance_list.Instance, ...] | None:
        """Return the listed backend servers, or None before the first read."""
        if not self._list_read:
            return None
        return tuple(server.listed for server in self.server_by_id.values())

    def of_service(
        self,
        service: ids.ServiceName,
    ) -> list[backend_server.BackendServer]:
        """Return the servers of a service, which are not model engines."""
        return [
            server
            for server in self.server_by_id.values()
            if server.listed.kind is instance_list.Kind.service
            and server.listed.pool == service
        ]
