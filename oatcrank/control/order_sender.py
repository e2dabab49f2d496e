"""Send the orders that a written plan calls for."""

import asyncio
from collections.abc import Iterable

from oatcrank import errors, ids, logs
from oatcrank.control import (
    control_ports,
    load_budget,
    order_times,
    plan,
    plan_store,
    pool_servers,
    replica_table,
    seen_report,
)
from oatcrank.engines import order
from oatcrank.settings import control_settings

MS_PER_S = 1000
KIND_BY_STATE = {
    plan.ReplicaState.loading: order.OrderKind.load_model,
    plan.ReplicaState.unloading: order.OrderKind.unload_model,
}


class OrderSender:
    """Send one order at a time to each server, its report read before."""

    def __init__(
        self,
        ports: control_ports.ControlPorts,
        settings: control_settings.ControlSettings,
        servers: pool_servers.PoolServers,
        times: order_times.OrderTimes,
        budget: load_budget.LoadBudget,
    ) -> None:
        """Share the servers, times and budget with the controller."""
        self._ports = ports
        self._servers = servers
        self._times = times
        self._budget = budget
        self._timeout_s = settings.order_timeout_ms / MS_PER_S
        self._deposed_below = ids.Fence(0)
        self._sending = 0

    def stop_below(self, fence: ids.Fence) -> bool:
        """Send nothing under a lower fence; return whether none is under way.

        The sends under way are not told apart by fence.
        """
        self._deposed_below = max(self._deposed_below, fence)
        return not self._sending

    def may_send(self, fence: ids.Fence) -> bool:
        """Return whether this process may still send under a fence."""
        if fence < self._deposed_below:
            return False
        return self._ports.lease.held() == fence

    async def send(
        self,
        written: plan.Plan,
        table: replica_table.ReplicaTable,
        seen: Iterable[seen_report.SeenReport],
    ) -> None:
        """Send what is due; raises plan_store.Deposition when deposed."""
        sends = []
        for report in seen:
            due = self._due(table, report)
            if due is not None:
                sends.append(self._send(written, due, report))
        endings = await asyncio.gather(*sends, return_exceptions=True)
        for ending in endings:
            if isinstance(ending, BaseException):
                raise ending

    def _due(
        self,
        table: replica_table.ReplicaTable,
        seen: seen_report.SeenReport,
    ) -> plan.Replica | None:
        server = seen.report.server_id
        if self._servers.is_leaving(server):
            return None
        unconfirmed = [
            replica
            for replica in table.on(server).values()
            if _is_unconfirmed(replica, seen)
        ]
        sent = [
            replica
            for replica in unconfirmed
            if self._times.was_sent(_key(replica))
        ]
        for replica in sorted(sent or unconfirmed, key=_unloads_first):
            if self._may_start(replica, seen):
                return replica
        return None

    def _may_start(
        self,
        replica: plan.Replica,
        seen: seen_report.SeenReport,
    ) -> bool:
        key = _key(replica)
        if not self._times.due(key, seen.asked, seen.report.boot_id):
            return False
        if replica.state is plan.ReplicaState.unloading:
            return True
        return self._budget.start((replica.server, replica.model))

    async def _send(
        self,
        written: plan.Plan,
        replica: plan.Replica,
        seen: seen_report.SeenReport,
    ) -> None:
        kind = KIND_BY_STATE[replica.state]
        wanted = order.Order(
            order_id=ids.OrderId(
                f'{replica.server}/{replica.model}/{replica.since}',
            ),
            fence=written.fence,
            kind=kind,
            model=replica.model,
        )
        self._sending += 1
        self._times.sending(_key(replica), seen.report.boot_id)
        try:
            await self._order(replica.server, wanted)
        finally:
            self._times.sent(_key(replica))
            self._sending -= 1

    async def _order(self, server: ids.ServerId, wanted: order.Order) -> None:
        if not self.may_send(wanted.fence):
            raise plan_store.Deposition('the lease has lapsed')
        backend = self._ports.engine_of(self._servers.listed[server])
        ending = 'taken'
        try:
            await backend.order(wanted, timeout_s=self._timeout_s)
        except errors.Conflict as error:
            raise plan_store.Deposition(f'{server} knows a later fence') from (
                error
            )
        except (errors.PlatformError, errors.BackendError) as error:
            ending = type(error).__name__
        self._ports.metrics.count(f'control.order_sent.{wanted.kind.value}')
        logs.event(
            'order_sent',
            order_id=wanted.order_id,
            kind=wanted.kind.value,
            fence=wanted.fence,
            ending=ending,
        )


def _key(replica: plan.Replica) -> order_times.OrderKey:
    return (replica.server, replica.model, KIND_BY_STATE[replica.state])


def _is_unconfirmed(
    replica: plan.Replica,
    seen: seen_report.SeenReport,
) -> bool:
    held = seen.held(replica.model)
    if replica.state is plan.ReplicaState.loading:
        return held is None
    return replica.state is plan.ReplicaState.unloading and held is not None


def _unloads_first(replica: plan.Replica) -> tuple[bool, int]:
    return (replica.state is plan.ReplicaState.loading, replica.since)
