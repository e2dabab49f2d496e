"""Coordinate all orders while this instance holds the order lease."""

import asyncio

from oatcrank import ids
from oatcrank.orders import (
    adapter_orders,
    boot_clock,
    demand,
    lease_term,
    model_orders,
    order,
    order_dispatcher,
    placement_factory,
    placement_status,
    runs,
    server_state_table,
    store_load_limit,
    usage,
)
from oatcrank.routing import need, route_table, server_table

# Placement requests are answered within this time, even if a load goes on.
ANSWER_WITHIN_S = 0.3


class OrderCoordinator:
    """Place models and adapters; equal requests share one task."""

    def __init__(
        self,
        *,
        instance_id: ids.InstanceId,
        servers: server_table.ServerTable,
        routes: route_table.RouteTable,
        sender: order.OrderSender,
    ) -> None:
        """Send orders to the servers of a table."""
        self.demand = demand.DemandWindow()
        self.runs = runs.Runs()
        sender.attach(servers)
        self._dispatcher = order_dispatcher.OrderDispatcher(instance_id, sender)
        self._server_states = server_state_table.ServerStateTable(
            servers, sender
        )
        self._placements = placement_factory.PlacementFactory(
            self._server_states,
            servers,
            routes,
            usage.Usage(self.demand, self.runs),
            self._dispatcher,
        )
        self._models = model_orders.ModelOrders(
            self._dispatcher,
            self._server_states,
            self._placements,
            servers,
        )
        self._adapters = adapter_orders.AdapterOrders(
            self._dispatcher,
            self._server_states,
            self._placements,
        )
        self._task_by_need: dict[
            need.Need,
            asyncio.Task[placement_status.PlacementStatus],
        ] = {}

    @property
    def term(self) -> lease_term.LeaseTerm | None:
        """Return this instance's lease term, if it holds the lease."""
        return self._dispatcher.term

    @property
    def last_order_s(self) -> float:
        """Return when the last order was sent."""
        return self._dispatcher.last_order_s

    def set_unload_listener(self, on_unload: order_dispatcher.OnUnload) -> None:
        """Call on_unload for each accepted unload of a model."""
        self._dispatcher.on_unload = on_unload

    def apply_load_ceiling(self, ceiling: store_load_limit.Ceiling) -> None:
        """Apply another ceiling to the loads that are decided from now on."""
        self._models.apply_ceiling(ceiling)

    def begin_term(self, term: lease_term.LeaseTerm) -> None:
        """Begin a lease term and discard all state of earlier terms."""
        self._dispatcher.term = term
        self._server_states.clear()
        self._models.begin_term(term)

    def stop(self) -> None:
        """End the lease term; no more orders are sent."""
        self._dispatcher.term = None

    def store_loads(self) -> store_load_limit.CountedLoads | None:
        """Return the loads that a successor has to count, if known."""
        return self._models.store_loads()

    async def request_placement(
        self,
        wanted: need.Need,
        unusable: placement_factory.UnusableIds,
    ) -> placement_status.PlacementStatus:
        """Return where a need is loaded, or raise PlacementError."""
        if self.term is None:
            raise placement_status.PlacementError(
                'this instance does not hold the order lease',
                model_orders.RETRY_S,
            )
        self._server_states.sync(wanted.service)
        self.demand.record_use(wanted, boot_clock.now())
        held = self._server_states.find_replica(wanted, unusable)
        if held is not None:
            return held
        task = self._task_by_need.get(wanted)
        if task is None:
            task = asyncio.ensure_future(self._load(wanted, unusable))
            self._task_by_need[wanted] = task
            task.add_done_callback(
                lambda finished_task: self._finish(wanted, finished_task),
            )
        done, _ = await asyncio.wait((task,), timeout=ANSWER_WITHIN_S)
        if done:
            return task.result()
        return placement_status.PlacementStatus(
            wait_s=self._models.remaining_s(_model_need(wanted))
        )

    async def refresh_overdue(self) -> None:
        """Request reports where registrations don't show the end of an order.

        They don't while the store is out of reach.
        """
        if not self._dispatcher.may_send():
            return
        for service in self._placements.engine_services():
            self._server_states.sync(service)
            await self._server_states.refresh_overdue(service)

    def add_replicas(self) -> None:
        """Start to load the replica with the largest gain in each service."""
        if not self._dispatcher.may_send():
            return
        for service in self._placements.engine_services():
            self._server_states.sync(service)
            self._models.add_replica(service)

    def _finish(
        self,
        wanted: need.Need,
        finished_task: asyncio.Task[placement_status.PlacementStatus],
    ) -> None:
        self._task_by_need.pop(wanted, None)
        model_orders.log_failure(wanted, finished_task)

    async def _load(
        self,
        wanted: need.Need,
        unusable: placement_factory.UnusableIds,
    ) -> placement_status.PlacementStatus:
        await self._server_states.refresh(wanted.service)
        held = self._server_states.find_replica(wanted, unusable)
        if held is not None:
            return held
        model = _model_need(wanted)
        if (
            wanted.adapter is None
            or self._server_states.find_replica(model, unusable) is None
        ):
            return await self._models.load(model, unusable)
        return await self._adapters.load(wanted, unusable)


def _model_need(wanted: need.Need) -> need.Need:
    """Return the need for the model alone."""
    return need.Need(wanted.service, wanted.model)
