"""Follow the platform's list of backend servers."""

import asyncio

from oatcrank import clock, errors, ids, logs
from oatcrank.engines import backend_server
from oatcrank.membership import instance_list


class BackendServers:
    """Keep every listed backend server by its id."""

    def __init__(
        self,
        listing: instance_list.InstanceList,
        ticker: clock.Clock,
    ) -> None:
        """Know no server until the list has been read."""
        self.by_id: dict[ids.ServerId, backend_server.BackendServer] = {}
        self._entries: frozenset[str] = frozenset()
        self._entries_seen: set[str] = set()
        self.changes = 0
        self._listing = listing
        self._known = False
        self._clock = ticker

    async def run(self, period_s: float) -> None:
        """Read the list again and again."""
        while True:
            await self.refresh()
            await asyncio.sleep(period_s)

    async def refresh(self) -> None:
        """Read the list once; an unreadable one changes nothing."""
        try:
            listed = await self._listing.read()
        except errors.PlatformError as error:
            logs.event('instance_list_unavailable', error=error)
            return
        self.take(listed)

    def take(self, listed: tuple[instance_list.Instance, ...]) -> None:
        """Replace what is known by a newer list, keeping counts."""
        self._known = True
        self._entries = frozenset(
            one.instance_id
            for one in listed
            if one.kind is instance_list.Kind.entry
        )
        self._entries_seen |= self._entries
        found = {
            ids.ServerId(one.instance_id): one
            for one in listed
            if one.kind is not instance_list.Kind.entry
        }
        for server_id in self.by_id.keys() - found.keys():
            self.by_id.pop(server_id)
            self.changes += 1
        for server_id, one in found.items():
            known = self.by_id.get(server_id)
            if known is None or known.listed.address != one.address:
                self.changes += 1
                self.by_id[server_id] = backend_server.BackendServer(
                    one,
                    self._clock,
                )
            else:
                known.listed = one

    def is_gone_entry(self, instance_id: str) -> bool:
        """Tell whether an entry instance was listed and is so no more."""
        if instance_id in self._entries:
            return False
        return instance_id in self._entries_seen

    def listed(self) -> tuple[instance_list.Instance, ...] | None:
        """Return the backend servers as last listed, or None before that."""
        if not self._known:
            return None
        return tuple(server.listed for server in self.by_id.values())

    def of_service(
        self,
        service: ids.ServiceName,
    ) -> list[backend_server.BackendServer]:
        """Return the plain servers that offer a service."""
        return [
            server
            for server in self.by_id.values()
            if server.listed.kind is instance_list.Kind.service
            and server.listed.pool == service
        ]
