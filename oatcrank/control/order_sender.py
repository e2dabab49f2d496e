"""Send the orders that carry out a written plan."""

import asyncio
from collections.abc import Iterable

from oatcrank import errors, ids, logs
from oatcrank.control import (
    control_dependencies,
    load_budget,
    order_times,
    plan,
    plan_store,
    pool_servers,
    received_report,
    replica_table,
)
from oatcrank.engines import order
from oatcrank.settings import control_settings

MS_PER_S = 1000
KIND_BY_STATE = {
    plan.ReplicaState.loading: order.OrderKind.load_model,
    plan.ReplicaState.unloading: order.OrderKind.unload_model,
}


class OrderSender:
    """Send at most one order per server and round, after reading its report."""

    def __init__(
        self,
        dependencies: control_dependencies.ControlDependencies,
        settings: control_settings.ControlSettings,
        servers: pool_servers.PoolServers,
        times: order_times.OrderTimes,
        budget: load_budget.LoadBudget,
    ) -> None:
        """Share the servers, times and budget with the controller."""
        self._dependencies = dependencies
        self._servers = servers
        self._times = times
        self._budget = budget
        self._timeout_s = settings.order_timeout_ms / MS_PER_S
        self._min_fence = ids.Fence(0)
        self._in_flight = 0

    def stop_sending_below(self, fence: ids.Fence) -> bool:
        """Stop sending below a fence; return whether no send is in flight.

        Sends in flight under any fence count.
        """
        self._min_fence = max(self._min_fence, fence)
        return not self._in_flight

    def may_send(self, fence: ids.Fence) -> bool:
        """Return whether this process may still send under a fence."""
        if fence < self._min_fence:
            return False
        return self._dependencies.lease.held_fence() == fence

    async def send(
        self,
        written_plan: plan.Plan,
        table: replica_table.ReplicaTable,
        reports: Iterable[received_report.ReceivedReport],
    ) -> None:
        """Send the due orders.

        Raises plan_store.ControllerSuperseded after a takeover.
        """
        sends = []
        for received in reports:
            due = self._due_replica(table, received)
            if due is not None:
                sends.append(self._send_order(written_plan, due, received))
        results = await asyncio.gather(*sends, return_exceptions=True)
        for result in results:
            if isinstance(result, BaseException):
                raise result

    def _due_replica(
        self,
        table: replica_table.ReplicaTable,
        received: received_report.ReceivedReport,
    ) -> plan.Replica | None:
        server = received.report.server_id
        if self._servers.is_leaving(server):
            return None
        unconfirmed = [
            replica
            for replica in table.replicas_on(server).values()
            if _is_unconfirmed(replica, received)
        ]
        already_sent = [
            replica
            for replica in unconfirmed
            if self._times.was_sent(_key(replica))
        ]
        for replica in sorted(already_sent or unconfirmed, key=_send_rank):
            if self._may_send_order(replica, received):
                return replica
        return None

    def _may_send_order(
        self,
        replica: plan.Replica,
        received: received_report.ReceivedReport,
    ) -> bool:
        key = _key(replica)
        if not self._times.is_due(
            key, received.requested_at, received.report.boot_id
        ):
            return False
        if replica.state is plan.ReplicaState.unloading:
            return True
        return self._budget.try_start((replica.server, replica.model))

    async def _send_order(
        self,
        written_plan: plan.Plan,
        replica: plan.Replica,
        received: received_report.ReceivedReport,
    ) -> None:
        kind = KIND_BY_STATE[replica.state]
        new_order = order.Order(
            order_id=ids.OrderId(
                f'{replica.server}/{replica.model}/{replica.since}',
            ),
            fence=written_plan.fence,
            kind=kind,
            model=replica.model,
        )
        self._in_flight += 1
        self._times.record_send_start(_key(replica), received.report.boot_id)
        try:
            await self._post_order(replica.server, new_order)
        finally:
            self._times.record_send_end(_key(replica))
            self._in_flight -= 1

    async def _post_order(
        self, server: ids.ServerId, new_order: order.Order
    ) -> None:
        if not self.may_send(new_order.fence):
            raise plan_store.ControllerSuperseded(
                'this controller no longer holds the control lease'
            )
        backend = self._dependencies.engine_of(
            self._servers.instance_by_server[server]
        )
        outcome = 'accepted'
        try:
            await backend.order(new_order, timeout_s=self._timeout_s)
        except errors.Conflict as error:
            raise plan_store.ControllerSuperseded(
                f'{server} has received a later fence',
            ) from error
        except (errors.PlatformError, errors.BackendError) as error:
            outcome = type(error).__name__
        self._dependencies.metrics.count(
            f'control.order_sent.{new_order.kind.value}'
        )
        logs.event(
            'order_sent',
            order_id=new_order.order_id,
            kind=new_order.kind.value,
            fence=new_order.fence,
            outcome=outcome,
        )


def _key(replica: plan.Replica) -> order_times.OrderKey:
    return (replica.server, replica.model, KIND_BY_STATE[replica.state])


def _is_unconfirmed(
    replica: plan.Replica,
    received: received_report.ReceivedReport,
) -> bool:
    held = received.held_model(replica.model)
    if replica.state is plan.ReplicaState.loading:
        return held is None
    return replica.state is plan.ReplicaState.unloading and held is not None


def _send_rank(replica: plan.Replica) -> tuple[bool, int]:
    return (replica.state is plan.ReplicaState.loading, replica.since)
