"""Have models loaded, one load at a time at each server."""

import asyncio
import collections

from oatcrank import ids, logs
from oatcrank.orders import (
    boot_clock,
    ledger,
    ledger_table,
    model_placement,
    order,
    order_dispatcher,
    placement_factory,
    placement_status,
    store_load_limit,
)
from oatcrank.routing import need, route, server_table

RETRY_S = 0.25
NO_PLACE_RETURN_S = 1.0
UNLOAD_WAIT_S = 6.0
LOOK_S = 0.05


class ModelOrders:
    """Order loads of models, and what makes way for them."""

    def __init__(
        self,
        dispatcher: order_dispatcher.OrderDispatcher,
        ledgers: ledger_table.LedgerTable,
        placements: placement_factory.PlacementFactory,
        servers: server_table.ServerTable,
    ) -> None:
        """Send by a line what the weighing decides."""
        self._dispatcher = dispatcher
        self._ledgers = ledgers
        self._placements = placements
        self._servers = servers
        self._limit_by_service: dict[
            ids.ServiceName,
            store_load_limit.StoreLoadLimit,
        ] = {}
        self._ready_s_by_need: dict[need.Need, float] = {}
        # How often models had no place since they were last given one.
        self._denied_by_need: collections.Counter[need.Need] = (
            collections.Counter()
        )
        self._replicas: set[asyncio.Task[placement_status.PlacementStatus]] = (
            set()
        )

    def begin_term(self) -> None:
        """Forget what was counted in an earlier turn."""
        self._limit_by_service.clear()

    def store_loads(self) -> int | None:
        """Return how many loads of the last seconds count, if that is known."""
        now_s = boot_clock.now()
        known = [
            server_ledger.recent_loads(now_s)
            for server_ledger in self._limit_by_service.values()
        ]
        if known:
            return sum(known)
        term = self._dispatcher.term
        return 0 if term is None else term.former_store_loads

    def left_s(self, model: need.Need) -> float:
        """Return how much longer a load under way probably takes."""
        ready_s = self._ready_s_by_need.get(model, float('-inf'))
        return max(RETRY_S, ready_s - boot_clock.now())

    async def load(
        self,
        wanted: need.Need,
        unusable: placement_factory.UnusableIds,
    ) -> placement_status.PlacementStatus:
        """Load a model that no server holds, or raise NotOrdered."""
        self._dispatcher.require_term()
        if self._is_reserved(wanted):
            return placement_status.PlacementStatus(wait_s=self.left_s(wanted))
        if wanted.model is None:
            raise placement_status.PlacementError(
                'no model named', 0, unplaceable=True
            )
        engine = self._placements.engine(wanted.service)
        limit = self._limit(wanted.service, engine)
        weighed = self._placements.models(wanted.service, unusable)
        chosen = weighed.choose_first_replica(
            wanted.model,
            allow_store_load=limit.allows_load(boot_clock.now()),
            denied=self._denied_by_need[wanted],
        )
        if chosen is None:
            self._denied_by_need[wanted] += 1
            raise placement_status.NoCapacity(
                'no server can load the model', NO_PLACE_RETURN_S
            )
        _log_place(wanted, weighed, chosen)
        server_ledger = self._reserve(wanted, engine, chosen)
        return await self._place(server_ledger, engine, chosen)

    def replicate(self, service: ids.ServiceName) -> None:
        """Begin to load the replica that gains most, if any does."""
        engine = self._placements.engine(service)
        limit = self._limit(service, engine)
        weighed = self._placements.models(service)
        chosen = weighed.choose_extra_replica(
            allow_store_load=limit.allows_load(boot_clock.now()),
        )
        if chosen is None:
            return
        wanted = need.Need(service, chosen.model)
        _log_place(wanted, weighed, chosen)
        server_ledger = self._reserve(wanted, engine, chosen)
        work = asyncio.ensure_future(self._place(server_ledger, engine, chosen))
        self._replicas.add(work)
        work.add_done_callback(
            lambda ended: self._forget_replica(wanted, ended),
        )

    def _forget_replica(
        self,
        wanted: need.Need,
        ended: asyncio.Task[placement_status.PlacementStatus],
    ) -> None:
        self._replicas.discard(ended)
        log_failure(wanted, ended)

    def _reserve(
        self,
        wanted: need.Need,
        engine: route.Engine,
        chosen: model_placement.Choice,
    ) -> ledger.Ledger:
        """Keep the chosen server for one load, so that no other takes it."""
        self._denied_by_need.pop(wanted, None)
        now_s = boot_clock.now()
        self._ready_s_by_need[wanted] = now_s + chosen.load_s
        if chosen.from_store:
            self._limit(wanted.service, engine).note(now_s)
        server_ledger = self._ledgers.by_id[chosen.server_id]
        server_ledger.reservation = ledger.Reservation(
            load=chosen.model, unload=chosen.unload
        )
        return server_ledger

    def _is_reserved(self, wanted: need.Need) -> bool:
        """Tell whether a place for a model is being made."""
        return any(
            server_ledger.reservation is not None
            and server_ledger.reservation.load == wanted.model
            for server_ledger in self._ledgers.of_service(wanted.service)
        )

    async def _place(
        self,
        server_ledger: ledger.Ledger,
        engine: route.Engine,
        chosen: model_placement.Choice,
    ) -> placement_status.PlacementStatus:
        """Have a model loaded at the server that is kept for it."""
        found = engine.model_by_name[chosen.model]
        try:
            await self._carry_out(server_ledger, chosen, found)
        finally:
            server_ledger.reservation = None
        return placement_status.PlacementStatus(
            wait_s=server_ledger.load_s(found)
        )

    async def _carry_out(
        self,
        server_ledger: ledger.Ledger,
        chosen: model_placement.Choice,
        wanted: route.Model,
    ) -> None:
        for model in chosen.unload:
            await self._order(
                server_ledger, order.Action.unload, model, None, 0
            )
            await self._idle(server_ledger)
        await self._order(
            server_ledger,
            order.Action.load,
            wanted.name,
            None,
            server_ledger.load_s(wanted),
        )

    async def _idle(self, server_ledger: ledger.Ledger) -> None:
        """Wait until a server has carried out an order."""
        ends_s = boot_clock.now() + UNLOAD_WAIT_S
        while server_ledger.active_order is not None:
            if boot_clock.now() > ends_s:
                server_ledger.invalidate()
                raise placement_status.PlacementError(
                    'an unload takes too long', RETRY_S
                )
            await self._servers.wait_for_change(LOOK_S)
            self._ledgers.sync(server_ledger.registration.service)

    async def _order(
        self,
        server_ledger: ledger.Ledger,
        action: order.Action,
        model: ids.ModelName,
        adapter: ids.AdapterName | None,
        duration_s: float,
    ) -> None:
        async with self._ledgers.lock_by_id[
            server_ledger.registration.server_id
        ]:
            await self._dispatcher.send(
                server_ledger, action, model, adapter, duration_s
            )

    def _limit(
        self,
        service: ids.ServiceName,
        engine: route.Engine,
    ) -> store_load_limit.StoreLoadLimit:
        found = self._limit_by_service.get(service)
        if found is None:
            found = store_load_limit.StoreLoadLimit(engine.store_loads_per_s)
            term = self._dispatcher.term
            if term is not None:
                found.add_inherited(term.former_store_loads, term.acquired_s)
            self._limit_by_service[service] = found
        return found


def _log_place(
    wanted: need.Need,
    weighed: model_placement.ModelPlacement,
    chosen: model_placement.Choice,
) -> None:
    asked = weighed.demand_for(chosen.model)
    logs.event(
        'model_placed',
        service=wanted.service,
        model=chosen.model,
        server=chosen.server_id,
        unload=','.join(chosen.unload),
        load_s=round(chosen.load_s, 2),
        from_store=chosen.from_store,
        demand=round(asked.rate, 2),
        running=round(asked.running, 2),
        replicas=weighed.replicas(chosen.model),
    )


def log_failure(
    wanted: need.Need,
    ended: asyncio.Task[placement_status.PlacementStatus],
) -> None:
    """Log why a load that was begun has failed, if it has."""
    if ended.cancelled():
        return
    error = ended.exception()
    if error is not None:
        logs.event('not_loaded', model=wanted.model, reason=error)
