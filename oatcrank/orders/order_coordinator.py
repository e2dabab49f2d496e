"""Give orders while this instance holds the lease for it."""

import asyncio

from oatcrank import ids
from oatcrank.orders import (
    adapter_orders,
    boot_clock,
    demand,
    lease_term,
    ledger_table,
    model_orders,
    order,
    order_dispatcher,
    placement_factory,
    placement_status,
    runs,
    usage,
)
from oatcrank.routing import need, route_table, server_table

# Who asks is told sooner than this how long it takes.
ANSWER_WITHIN_S = 0.3


class OrderCoordinator:
    """Have models and adapters loaded, each wish once."""

    def __init__(
        self,
        *,
        instance_id: ids.InstanceId,
        servers: server_table.ServerTable,
        routes: route_table.RouteTable,
        sender: order.OrderSender,
    ) -> None:
        """Order servers of a table by way of a sender."""
        self.demand = demand.DemandWindow()
        self.runs = runs.Runs()
        self._dispatcher = order_dispatcher.OrderDispatcher(instance_id, sender)
        self._ledgers = ledger_table.LedgerTable(servers, sender)
        self._placements = placement_factory.PlacementFactory(
            self._ledgers,
            servers,
            routes,
            usage.Usage(self.demand, self.runs),
            self._dispatcher,
        )
        self._models = model_orders.ModelOrders(
            self._dispatcher,
            self._ledgers,
            self._placements,
            servers,
        )
        self._adapters = adapter_orders.AdapterOrders(
            self._dispatcher,
            self._ledgers,
            self._placements,
        )
        self._work_by_need: dict[
            need.Need,
            asyncio.Task[placement_status.PlacementStatus],
        ] = {}

    @property
    def term(self) -> lease_term.LeaseTerm | None:
        """Return this instance's turn, if it has one."""
        return self._dispatcher.term

    @property
    def last_order_s(self) -> float:
        """Return when the last order was sent."""
        return self._dispatcher.last_order_s

    def set_unload_listener(self, on_unload: order_dispatcher.OnUnload) -> None:
        """Have somebody hear of each unload of a model."""
        self._dispatcher.on_unload = on_unload

    def begin_term(self, term: lease_term.LeaseTerm) -> None:
        """Take up a turn; nothing known of before counts."""
        self._dispatcher.term = term
        self._ledgers.clear()
        self._models.begin_term()

    def stop(self) -> None:
        """Give no more orders."""
        self._dispatcher.term = None

    def store_loads(self) -> int | None:
        """Return how many loads of the last seconds count, if that is known."""
        return self._models.store_loads()

    async def request_placement(
        self,
        wanted: need.Need,
        unusable: placement_factory.UnusableIds,
    ) -> placement_status.PlacementStatus:
        """Return where something is held, or raise NotOrdered."""
        if self.term is None:
            raise placement_status.PlacementError(
                'this instance gives no orders',
                model_orders.RETRY_S,
            )
        self._ledgers.sync(wanted.service)
        self.demand.record_use(wanted, boot_clock.now())
        held = self._ledgers.find_replica(wanted, unusable)
        if held is not None:
            return held
        work = self._work_by_need.get(wanted)
        if work is None:
            work = asyncio.ensure_future(self._load(wanted, unusable))
            self._work_by_need[wanted] = work
            work.add_done_callback(
                lambda ended: self._forget(wanted, ended),
            )
        done, _ = await asyncio.wait((work,), timeout=ANSWER_WITHIN_S)
        if done:
            return work.result()
        return placement_status.PlacementStatus(
            wait_s=self._models.left_s(_model(wanted))
        )

    def balance(self) -> None:
        """Begin to load the replica that gains most in each service."""
        if not self._dispatcher.may_send():
            return
        for service in self._placements.engine_services():
            self._ledgers.sync(service)
            self._models.replicate(service)

    def _forget(
        self,
        wanted: need.Need,
        ended: asyncio.Task[placement_status.PlacementStatus],
    ) -> None:
        self._work_by_need.pop(wanted, None)
        model_orders.log_failure(wanted, ended)

    async def _load(
        self,
        wanted: need.Need,
        unusable: placement_factory.UnusableIds,
    ) -> placement_status.PlacementStatus:
        await self._ledgers.refresh(wanted.service)
        held = self._ledgers.find_replica(wanted, unusable)
        if held is not None:
            return held
        model = _model(wanted)
        if (
            wanted.adapter is None
            or self._ledgers.find_replica(model, unusable) is None
        ):
            return await self._models.load(model, unusable)
        return await self._adapters.load(wanted, unusable)


def _model(wanted: need.Need) -> need.Need:
    """Return the need for the model alone."""
    return need.Need(wanted.service, wanted.model)
