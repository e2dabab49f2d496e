"""Load models, one at a time at each server."""

import asyncio
import collections

import msgspec

from oatcrank import ids, logs
from oatcrank.orders import (
    boot_clock,
    lease_term,
    model_placement,
    order,
    order_dispatcher,
    placement_factory,
    placement_status,
    server_state,
    server_state_table,
    store_load_limit,
    store_load_limits,
)
from oatcrank.routing import need, route, server_table

RETRY_S = 0.25
NO_CAPACITY_RETRY_S = 1.0
UNLOAD_WAIT_S = 6.0
POLL_S = 0.05


class _PlannedLoad(msgspec.Struct, kw_only=True):
    """A load that has been decided, at the server that is reserved for it."""

    choice: model_placement.Choice
    model: route.Model
    state: server_state.ServerState
    decided_s: float
    # None if the load does not use the weight store.
    store_load: store_load_limit.StoreLoad | None

    def record_begin(self, *, still_open: bool = False) -> None:
        """Record that the server has begun the load, or may still do so."""
        if self.store_load is None:
            return
        now_s = boot_clock.now()
        if still_open:
            self.store_load.record_unanswered(now_s)
        else:
            self.store_load.record_begin(now_s)

    def record_failure(self) -> None:
        """Record that the load will not begin, unless it may have begun."""
        if self.store_load is not None and not self.store_load.may_have_begun:
            self.store_load.record_not_ordered()


class ModelOrders:
    """Order loads of models, and unloads of the models they evict."""

    def __init__(
        self,
        dispatcher: order_dispatcher.OrderDispatcher,
        server_states: server_state_table.ServerStateTable,
        placements: placement_factory.PlacementFactory,
        servers: server_table.ServerTable,
    ) -> None:
        """Send the orders of the chosen placements."""
        self._dispatcher = dispatcher
        self._server_states = server_states
        self._placements = placements
        self._servers = servers
        self._limits = store_load_limits.StoreLoadLimits()
        self._ready_s_by_need: dict[need.Need, float] = {}
        # How often no server could load a model since its last placement.
        self._denied_by_need: collections.Counter[need.Need] = (
            collections.Counter()
        )
        self._replica_tasks: set[
            asyncio.Task[placement_status.PlacementStatus]
        ] = set()

    def apply_ceiling(self, ceiling: store_load_limit.Ceiling) -> None:
        """Apply another ceiling to the loads that are decided from now on."""
        self._limits.apply_ceiling(ceiling)

    def begin_term(self, term: lease_term.LeaseTerm) -> None:
        """Discard the load counts of an earlier term."""
        self._limits.begin_term(term)

    def store_loads(self) -> store_load_limit.CountedLoads | None:
        """Return the loads that a successor has to count, if known."""
        return self._limits.counted_loads(boot_clock.now())

    def remaining_s(self, wanted: need.Need) -> float:
        """Return the estimated remaining time of a load in progress."""
        ready_s = self._ready_s_by_need.get(wanted, float('-inf'))
        return max(RETRY_S, ready_s - boot_clock.now())

    async def load(
        self,
        wanted: need.Need,
        unusable: placement_factory.UnusableIds,
    ) -> placement_status.PlacementStatus:
        """Load a model that no server holds, or raise PlacementError."""
        self._dispatcher.require_term()
        if self._is_reserved(wanted):
            return placement_status.PlacementStatus(
                wait_s=self.remaining_s(wanted)
            )
        if wanted.model is None:
            raise placement_status.PlacementError(
                'no model named', 0, unplaceable=True
            )
        engine = self._placements.engine(wanted.service)
        limit = self._limits.of_service(wanted.service, engine)
        placement = self._placements.models(wanted.service, unusable)
        chosen = placement.choose_first_replica(
            wanted.model,
            allow_store_load=limit.allows_load(boot_clock.now()),
            denied=self._denied_by_need[wanted],
        )
        if chosen is None:
            self._denied_by_need[wanted] += 1
            raise placement_status.NoCapacity(
                'no server can load the model', NO_CAPACITY_RETRY_S
            )
        _log_placement(wanted, placement, chosen)
        return await self._place(self._reserve(wanted, engine, chosen))

    def add_replica(self, service: ids.ServiceName) -> None:
        """Start to load the replica with the largest gain, if any."""
        engine = self._placements.engine(service)
        limit = self._limits.of_service(service, engine)
        placement = self._placements.models(service)
        chosen = placement.choose_extra_replica(
            allow_store_load=limit.allows_load(boot_clock.now()),
        )
        if chosen is None:
            return
        wanted = need.Need(service, chosen.model)
        _log_placement(wanted, placement, chosen)
        task = asyncio.ensure_future(
            self._place(self._reserve(wanted, engine, chosen))
        )
        self._replica_tasks.add(task)
        task.add_done_callback(
            lambda finished_task: self._finish_replica(wanted, finished_task),
        )

    def _finish_replica(
        self,
        wanted: need.Need,
        finished_task: asyncio.Task[placement_status.PlacementStatus],
    ) -> None:
        self._replica_tasks.discard(finished_task)
        log_failure(wanted, finished_task)

    def _reserve(
        self,
        wanted: need.Need,
        engine: route.Engine,
        chosen: model_placement.Choice,
    ) -> _PlannedLoad:
        """Reserve the chosen server, so that no other load is placed there."""
        self._denied_by_need.pop(wanted, None)
        now_s = boot_clock.now()
        self._ready_s_by_need[wanted] = now_s + chosen.load_s
        state = self._server_states.by_id[chosen.server_id]
        state.reservation = server_state.Reservation(
            load=chosen.model, unload=chosen.unload
        )
        limit = self._limits.of_service(wanted.service, engine)
        return _PlannedLoad(
            choice=chosen,
            model=engine.model_by_name[chosen.model],
            state=state,
            decided_s=now_s,
            store_load=limit.reserve() if chosen.from_store else None,
        )

    def _is_reserved(self, wanted: need.Need) -> bool:
        """Return whether a server is reserved for a load of a model."""
        return any(
            state.reservation is not None
            and state.reservation.load == wanted.model
            for state in self._server_states.of_service(wanted.service)
        )

    async def _place(
        self, planned: _PlannedLoad
    ) -> placement_status.PlacementStatus:
        """Load a model at the server that is reserved for it."""
        state = planned.state
        try:
            await self._carry_out(planned)
        except placement_status.PlacementError:
            planned.record_failure()
            raise
        finally:
            state.reservation = None
        return placement_status.PlacementStatus(
            wait_s=state.load_s(planned.model)
        )

    async def _carry_out(self, planned: _PlannedLoad) -> None:
        state = planned.state
        for model in planned.choice.unload:
            await self._order(state, order.Action.unload, model, None, 0)
            await self._wait_until_idle(state)
        self._log_load(planned)
        try:
            await self._order(
                state,
                order.Action.load,
                planned.model.name,
                None,
                state.load_s(planned.model),
            )
        except placement_status.OrderUnanswered as error:
            planned.record_begin(still_open=error.open)
            raise
        planned.record_begin()

    def _log_load(self, planned: _PlannedLoad) -> None:
        """Log a load that is about to be ordered, and how many are counted."""
        now_s = boot_clock.now()
        state = planned.state
        counted = self._limits.counted_loads(now_s)
        logs.event(
            'load_ordered',
            model=planned.model.name,
            server=state.registration.server_id,
            from_store=planned.choice.from_store,
            waited_s=round(now_s - planned.decided_s, 2),
            store_loads=None if counted is None else counted.total,
        )

    async def _wait_until_idle(self, state: server_state.ServerState) -> None:
        """Wait until a server has completed its active order."""
        ends_s = boot_clock.now() + UNLOAD_WAIT_S
        while state.active_order is not None:
            if boot_clock.now() > ends_s:
                state.invalidate()
                raise placement_status.PlacementError(
                    'an unload has timed out', RETRY_S
                )
            await self._servers.wait_for_change(POLL_S)
            self._server_states.sync(state.registration.service)

    async def _order(
        self,
        state: server_state.ServerState,
        action: order.Action,
        model: ids.ModelName,
        adapter: ids.AdapterName | None,
        duration_s: float,
    ) -> None:
        async with self._server_states.lock_by_id[state.registration.server_id]:
            await self._dispatcher.send(
                state, action, model, adapter, duration_s
            )


def _log_placement(
    wanted: need.Need,
    placement: model_placement.ModelPlacement,
    chosen: model_placement.Choice,
) -> None:
    demand = placement.demand_for(chosen.model)
    logs.event(
        'model_placed',
        service=wanted.service,
        model=chosen.model,
        server=chosen.server_id,
        unload=','.join(chosen.unload),
        load_s=round(chosen.load_s, 2),
        from_store=chosen.from_store,
        demand=round(demand.rate, 2),
        running=round(demand.running, 2),
        replicas=placement.replicas(chosen.model),
    )


def log_failure(
    wanted: need.Need,
    finished_task: asyncio.Task[placement_status.PlacementStatus],
) -> None:
    """Log the error of a load task that has failed."""
    if finished_task.cancelled():
        return
    error = finished_task.exception()
    if error is not None:
        logs.event('load_failed', model=wanted.model, reason=error)
