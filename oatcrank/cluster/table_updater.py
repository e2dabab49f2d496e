"""Update the routing tables from the items of the store."""

import asyncio

import msgspec

from oatcrank import decoding, ids, logs
from oatcrank.cluster import (
    codec,
    crash_cause_records,
    member,
    members,
    session,
    store,
    store_mirror,
)
from oatcrank.routing import (
    crash_causes,
    route,
    route_table,
    server_registration,
    server_table,
)

# Live servers register again within this time after the store is back.
REREGISTRATION_GRACE_S = 2.0


class TableUpdater(store_mirror.Listener):
    """Apply changes of the store to the tables of routes, servers and members.

    Registrations may expire while the store is unreachable. Servers that are
    missing when it is back stay in use until they had time to register again.
    """

    def __init__(
        self,
        item_codec: codec.Codec,
        routes: route_table.RouteTable,
        servers: server_table.ServerTable,
        members: members.Members,
        causes_by_kind: crash_causes.CausesByKind,
    ) -> None:
        """Decode items with a codec and update the given tables."""
        self._causes_by_kind = causes_by_kind
        self._codec = item_codec
        self._routes = routes
        self._servers = servers
        self._members = members
        self._grace_ends_s = float(0)
        self._removal_reason_by_id: dict[ids.ServerId, str] = {}

    def on_restored(self, item: store.Item, *, removed: bool) -> None:
        """Apply a restored value, unless the key was known to be removed.

        A server or an instance that lives registers again.
        """
        if removed:
            logs.event('restored_value_ignored', key=item.key)
            return
        self.on_change(item)

    def on_lost(self, item: store.Item) -> None:
        """Remove a lost registration; what this system wrote is kept.

        It is written again by those that know it.
        """
        if not crash_cause_records.is_record(item):
            self.on_change(item)

    def on_change(self, item: store.Item) -> None:
        """Apply a key's newer value."""
        if item.key.startswith(session.MEMBERS_PREFIX):
            self._update_member(item)
            return
        if crash_cause_records.is_record(item):
            now_s = asyncio.get_running_loop().time()
            crash_cause_records.apply_record(item, self._causes_by_kind, now_s)
            return
        decoded = self._codec.decode(item)
        if isinstance(decoded, route.Configuration):
            if self._routes.replace(decoded):
                logs.event(
                    'configuration_applied',
                    version=decoded.version,
                    routes=len(decoded.routes),
                    revision=item.revision,
                )
        elif isinstance(decoded, server_registration.Registration):
            self._removal_reason_by_id.pop(decoded.server_id, None)
            self._servers.put(decoded)
        elif isinstance(decoded, codec.ServerRemoval):
            self._remove_server(decoded)

    def on_reconnect(self) -> None:
        """Keep servers with expired registrations for a grace period."""
        loop = asyncio.get_running_loop()
        self._grace_ends_s = loop.time() + REREGISTRATION_GRACE_S
        loop.call_at(
            self._grace_ends_s, self._remove_missing, self._grace_ends_s
        )

    def on_snapshot(self) -> None:
        """Do nothing, since each item was applied by on_change."""

    def _remove_server(self, removal: codec.ServerRemoval) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s < self._grace_ends_s and removal.server_id in (
            self._servers.by_id
        ):
            self._removal_reason_by_id[removal.server_id] = removal.reason
            return
        self._servers.remove(removal.server_id, removal.reason)

    def _remove_missing(self, grace_ends_s: float) -> None:
        if grace_ends_s != self._grace_ends_s:
            # Another grace period has begun since.
            return
        missing = self._removal_reason_by_id
        self._removal_reason_by_id = {}
        for server_id, reason in missing.items():
            self._servers.remove(server_id, reason)

    def _update_member(self, item: store.Item) -> None:
        instance_id = ids.InstanceId(
            item.key.removeprefix(session.MEMBERS_PREFIX),
        )
        if item.value is None:
            self._members.remove(instance_id)
            logs.event('member_removed', member=instance_id)
            return
        try:
            registered = decoding.from_json(item.value, expected=member.Member)
        except msgspec.MsgspecError as error:
            logs.event('member_malformed', key=item.key, error=error)
            self._members.remove(instance_id)
            return
        self._members.put(registered)
        logs.event('member_updated', member=instance_id, ready=registered.ready)
