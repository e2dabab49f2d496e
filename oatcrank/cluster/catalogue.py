"""Take what the store says into the tables that requests use."""

import asyncio

import msgspec

from oatcrank import ids, logs
from oatcrank.cluster import codec, member, members, mirror, session, store
from oatcrank.routing import (
    route,
    route_table,
    server_registration,
    server_table,
)

# Servers register anew this soon after the store is back, if they live.
RETURN_S = 2.0


class Catalogue(mirror.Listener):
    """Keep routes, servers and members as the store has them.

    Registrations may lapse while the store is away: servers that are missing
    when it is back are used until they have had time to register anew.
    """

    def __init__(
        self,
        reader: codec.Codec,
        routes: route_table.RouteTable,
        servers: server_table.ServerTable,
        known: members.Members,
    ) -> None:
        """Fill the tables by way of a codec."""
        self._codec = reader
        self._routes = routes
        self._servers = servers
        self._members = known
        self._patient_until_s = float(0)
        self._missing: dict[ids.ServerId, str] = {}

    def changed(self, item: store.Item) -> None:
        """Take a key's newer value."""
        if item.key.startswith(session.MEMBERS_PREFIX):
            self._take_member(item)
            return
        found = self._codec.read(item)
        if isinstance(found, route.Configuration):
            if self._routes.replace(found):
                logs.event(
                    'configuration_taken',
                    version=found.version,
                    routes=len(found.routes),
                    revision=item.revision,
                )
        elif isinstance(found, server_registration.Registration):
            self._missing.pop(found.server_id, None)
            self._servers.put(found)
        elif isinstance(found, codec.ServerGone):
            self._take_gone(found)

    def regained(self) -> None:
        """Be patient with registrations that have lapsed."""
        loop = asyncio.get_running_loop()
        self._patient_until_s = loop.time() + RETURN_S
        loop.call_later(RETURN_S, self._remove_missing)

    def read(self) -> None:
        """Note that all keys have been read."""

    def _take_gone(self, gone: codec.ServerGone) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s < self._patient_until_s and gone.server_id in (
            self._servers.by_id
        ):
            self._missing[gone.server_id] = gone.reason
            return
        self._servers.remove(gone.server_id, gone.reason)

    def _remove_missing(self) -> None:
        missing = self._missing
        self._missing = {}
        for server_id, reason in missing.items():
            self._servers.remove(server_id, reason)

    def _take_member(self, item: store.Item) -> None:
        instance_id = ids.InstanceId(
            item.key.removeprefix(session.MEMBERS_PREFIX),
        )
        if item.value is None:
            self._members.remove(instance_id)
            logs.event('member_gone', member=instance_id)
            return
        try:
            found = msgspec.json.decode(item.value, type=member.Member)
        except msgspec.MsgspecError as error:
            logs.event('member_unreadable', key=item.key, error=error)
            self._members.remove(instance_id)
            return
        self._members.put(found)
        logs.event('member_seen', member=instance_id, ready=found.ready)
