"""Give orders while this instance holds the lease for it."""

import asyncio
import collections
import time

from oatcrank import ids, logs
from oatcrank.orders import (
    adapter_placement,
    arrangement,
    boot_clock,
    demand,
    ledger,
    ledger_book,
    load_ceiling,
    order,
    order_line,
    placement,
    runs,
    seen,
    tenure,
)
from oatcrank.routing import need, route, route_table, server_table

# How long an adapter takes to arrive, and how soon to ask again for one.
ADAPTER_LOAD_S = 0.02
ASK_AGAIN_S = 0.25
# Who asks is told sooner than this how long it takes.
ANSWER_WITHIN_S = 0.3
ADAPTER_AGAIN_S = 0.1
NO_PLACE_RETURN_S = 1.0
UNLOAD_WAIT_S = 6.0
LOOK_S = 0.05
# With more requests per slot, some wait at the server.
CROWDED_LOAD = 0.7


class OrderDesk:
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
        self.asked = demand.Demand()
        self.runs = runs.Runs()
        self._line = order_line.OrderLine(instance_id, sender)
        self._book = ledger_book.LedgerBook(servers, sender)
        self._servers = servers
        self._routes = routes
        self._ceiling_by_service: dict[
            ids.ServiceName,
            load_ceiling.LoadCeiling,
        ] = {}
        self._work_by_need: dict[
            need.Need, asyncio.Task[arrangement.Placed]
        ] = {}
        self._ready_s_by_need: dict[need.Need, float] = {}
        # How often models had no place since they were last given one.
        self._denied_by_need: collections.Counter[need.Need] = (
            collections.Counter()
        )
        self._replicas: set[asyncio.Task[arrangement.Placed]] = set()

    @property
    def turn(self) -> tenure.Tenure | None:
        """Return this instance's turn, if it has one."""
        return self._line.turn

    @property
    def last_order_s(self) -> float:
        """Return when the last order was sent."""
        return self._line.last_order_s

    def tell_unloads(self, on_unload: order_line.OnUnload) -> None:
        """Have somebody hear of each unload of a model."""
        self._line.on_unload = on_unload

    def begin(self, turn: tenure.Tenure) -> None:
        """Take up a turn; nothing known of before counts."""
        self._line.turn = turn
        self._book.clear()
        self._ceiling_by_service.clear()

    def stop(self) -> None:
        """Give no more orders."""
        self._line.turn = None

    def store_loads(self) -> int | None:
        """Return how many loads of the last seconds count, if that is known."""
        now_s = boot_clock.now()
        known = [one.recent(now_s) for one in self._ceiling_by_service.values()]
        if known:
            return sum(known)
        return 0 if self.turn is None else self.turn.former_loads

    async def arrange(
        self,
        wanted: need.Need,
        unusable: tuple[ids.ServerId, ...],
    ) -> arrangement.Placed:
        """Return where something is held, or raise NotOrdered."""
        if self.turn is None:
            raise arrangement.NotOrdered(
                'this instance gives no orders', ASK_AGAIN_S
            )
        self._book.follow(wanted.service)
        self.asked.note_use(wanted, boot_clock.now())
        held = self._book.held(wanted, unusable)
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
        return arrangement.Placed(wait_s=self._left_s(wanted))

    def _forget(
        self,
        wanted: need.Need,
        ended: asyncio.Task[arrangement.Placed],
    ) -> None:
        self._work_by_need.pop(wanted, None)
        _log_failure(wanted, ended)

    def _left_s(self, wanted: need.Need) -> float:
        """Return how much longer an arrangement under way probably takes."""
        ready_s = self._ready_s_by_need.get(
            need.Need(wanted.service, wanted.model),
            float('-inf'),
        )
        return max(ASK_AGAIN_S, ready_s - boot_clock.now())

    def balance(self) -> None:
        """Begin to load the replica that gains most in each service."""
        configuration = self._routes.configuration
        if configuration is None or not self._line.may_send():
            return
        for service in configuration.service_by_name.values():
            if service.engine is not None:
                self._book.follow(service.name)
                self._replicate(service.name, service.engine)

    def _replicate(
        self,
        service: ids.ServiceName,
        engine: route.Engine,
    ) -> None:
        now_s = boot_clock.now()
        chosen = self._placement(service, engine, ()).replica(
            store_loads=self._ceiling(service, engine).has_room(now_s),
        )
        if chosen is None:
            return
        wanted = need.Need(service, chosen.model)
        self._claim(wanted, engine, chosen)
        work = asyncio.ensure_future(self._place(wanted, engine, chosen))
        self._replicas.add(work)
        work.add_done_callback(
            lambda ended: self._forget_replica(wanted, ended),
        )

    def _forget_replica(
        self,
        wanted: need.Need,
        ended: asyncio.Task[arrangement.Placed],
    ) -> None:
        self._replicas.discard(ended)
        _log_failure(wanted, ended)

    # Loads

    async def _load(
        self,
        wanted: need.Need,
        unusable: tuple[ids.ServerId, ...],
    ) -> arrangement.Placed:
        await self._book.refresh(wanted.service)
        held = self._book.held(wanted, unusable)
        if held is not None:
            return held
        if wanted.adapter is None:
            return await self._load_model(wanted, unusable)
        model_only = need.Need(wanted.service, wanted.model)
        if self._book.held(model_only, unusable) is None:
            return await self._load_model(model_only, unusable)
        return await self._load_adapter(wanted, unusable)

    async def _load_model(
        self,
        wanted: need.Need,
        unusable: tuple[ids.ServerId, ...],
    ) -> arrangement.Placed:
        self._line.check_turn()
        if self._is_claimed(wanted):
            return arrangement.Placed(wait_s=self._left_s(wanted))
        engine = self._engine(wanted.service)
        if wanted.model is None:
            raise arrangement.NotOrdered('no model named', 0, hopeless=True)
        ceiling = self._ceiling(wanted.service, engine)
        chosen = self._placement(wanted.service, engine, unusable).missing(
            wanted.model,
            store_loads=ceiling.has_room(boot_clock.now()),
            denied=self._denied_by_need[wanted],
        )
        if chosen is None:
            self._denied_by_need[wanted] += 1
            raise arrangement.NoPlace(
                'no place for the model', NO_PLACE_RETURN_S
            )
        self._claim(wanted, engine, chosen)
        return await self._place(wanted, engine, chosen)

    def _claim(
        self,
        wanted: need.Need,
        engine: route.Engine,
        chosen: placement.Choice,
    ) -> None:
        """Keep the chosen server for one load, so that no other takes it."""
        self._denied_by_need.pop(wanted, None)
        now_s = boot_clock.now()
        self._log_place(wanted, chosen)
        self._ready_s_by_need[wanted] = now_s + chosen.load_s
        if chosen.from_store:
            self._ceiling(wanted.service, engine).note(now_s)
        self._book.by_id[chosen.server_id].claim = ledger.Claim(
            load=chosen.model,
            unload=chosen.unload,
        )

    def _is_claimed(self, wanted: need.Need) -> bool:
        """Tell whether a place for a model is being made."""
        return any(
            one.claim is not None and one.claim.load == wanted.model
            for one in self._book.of_service(wanted.service)
        )

    async def _place(
        self,
        wanted: need.Need,
        engine: route.Engine,
        chosen: placement.Choice,
    ) -> arrangement.Placed:
        """Have a model loaded at the server that is kept for it."""
        one = self._book.by_id[chosen.server_id]
        found = engine.model_by_name[chosen.model]
        try:
            await self._carry_out(one, chosen, found)
        finally:
            one.claim = None
        return arrangement.Placed(wait_s=one.load_s(found))

    def _log_place(self, wanted: need.Need, chosen: placement.Choice) -> None:
        asked = self.asked.by_model(wanted.service, boot_clock.now()).get(
            chosen.model,
            demand.NO_DEMAND,
        )
        logs.event(
            'model_placed',
            model=chosen.model,
            server=chosen.server_id,
            unload=','.join(chosen.unload),
            load_s=round(chosen.load_s, 2),
            from_store=chosen.from_store,
            demand=round(asked.rate, 2),
            running=round(asked.running, 2),
            replica=self._book.held(wanted, ()) is not None,
        )

    async def _carry_out(
        self,
        one: ledger.Ledger,
        chosen: placement.Choice,
        wanted: route.Model,
    ) -> None:
        for model in chosen.unload:
            await self._order(one, order.Action.unload, model, None, 0)
            await self._idle(one)
        await self._order(
            one,
            order.Action.load,
            wanted.name,
            None,
            one.load_s(wanted),
        )

    async def _load_adapter(
        self,
        wanted: need.Need,
        unusable: tuple[ids.ServerId, ...],
    ) -> arrangement.Placed:
        engine = self._engine(wanted.service)
        if wanted.model is None or wanted.adapter is None:
            raise arrangement.NotOrdered('no adapter named', 0, hopeless=True)
        weighed = adapter_placement.AdapterPlacement(
            self._usable(wanted.service, unusable),
            engine,
            seen.Seen(self.asked, self.runs),
            wanted.service,
        )
        chosen = weighed.best(wanted.model, boot_clock.now())
        if chosen is None:
            raise arrangement.NotOrdered(
                'no place for the adapter', ADAPTER_AGAIN_S
            )
        one = self._book.by_id[chosen.server_id]
        async with self._book.lock_by_id[chosen.server_id]:
            held = self._book.held(wanted, unusable)
            if held is not None:
                return held
            # Others may have had orders sent while this one waited.
            chosen = weighed.at(one, wanted.model, boot_clock.now())
            if chosen is None:
                raise arrangement.NotOrdered(
                    'the place is taken', ADAPTER_AGAIN_S
                )
            if chosen.unload is not None:
                model, adapter = chosen.unload
                await self._line.send(
                    one, order.Action.unload, model, adapter, 0
                )
            if one.work is not None:
                raise arrangement.NotOrdered(
                    'the place is in use', ADAPTER_AGAIN_S
                )
            await self._line.send(
                one,
                order.Action.load,
                wanted.model,
                wanted.adapter,
                0,
            )
        return arrangement.Placed(
            wait_s=ADAPTER_LOAD_S, server_id=chosen.server_id
        )

    async def _idle(self, one: ledger.Ledger) -> None:
        """Wait until a server has carried out an order."""
        ends_s = boot_clock.now() + UNLOAD_WAIT_S
        while one.work is not None:
            if boot_clock.now() > ends_s:
                one.distrust()
                raise arrangement.NotOrdered(
                    'an unload takes too long', ASK_AGAIN_S
                )
            await self._servers.changed(LOOK_S)
            self._book.follow(one.listed.service)

    async def _order(
        self,
        one: ledger.Ledger,
        action: order.Action,
        model: ids.ModelName,
        adapter: ids.AdapterName | None,
        takes_s: float,
    ) -> None:
        async with self._book.lock_by_id[one.listed.server_id]:
            await self._line.send(one, action, model, adapter, takes_s)

    def _usable(
        self,
        service: ids.ServiceName,
        unusable: tuple[ids.ServerId, ...],
    ) -> list[ledger.Ledger]:
        """Return the ledgers of servers that nobody has found unusable."""
        now_s = time.monotonic()
        own = {
            one.server_id
            for one in self._servers.of_service(service)
            if one.usable(now_s)
        }
        return [
            one
            for one in self._book.of_service(service)
            if one.listed.server_id in own
            and one.listed.server_id not in unusable
        ]

    def _placement(
        self,
        service: ids.ServiceName,
        engine: route.Engine,
        unusable: tuple[ids.ServerId, ...],
    ) -> placement.Placement:
        now_s = time.monotonic()
        crowded = frozenset(
            one.server_id
            for one in self._servers.of_service(service)
            if one.load(now_s) > CROWDED_LOAD
        )
        return placement.Placement(
            self._usable(service, unusable),
            engine,
            seen.Seen(self.asked, self.runs),
            service,
            boot_clock.now(),
            crowded=crowded,
        )

    def _engine(self, service: ids.ServiceName) -> route.Engine:
        configuration = self._routes.configuration
        found = (
            configuration and configuration.service_by_name.get(service)
        ) or None
        if found is None or found.engine is None:
            raise arrangement.NotOrdered(
                'the service has no models', 0, hopeless=True
            )
        return found.engine

    def _ceiling(
        self,
        service: ids.ServiceName,
        engine: route.Engine,
    ) -> load_ceiling.LoadCeiling:
        found = self._ceiling_by_service.get(service)
        if found is None:
            found = load_ceiling.LoadCeiling(engine.store_loads_per_s)
            if self.turn is not None:
                found.inherit(self.turn.former_loads, self.turn.acquired_s)
            self._ceiling_by_service[service] = found
        return found


def _log_failure(
    wanted: need.Need,
    ended: asyncio.Task[arrangement.Placed],
) -> None:
    if ended.cancelled():
        return
    error = ended.exception()
    if error is not None:
        logs.event('not_loaded', model=wanted.model, reason=error)
