"""Give orders while this instance holds the lease for it."""

import asyncio
import collections
import math
import time
from collections.abc import Callable

import msgspec

from oatcrank import errors, ids, logs
from oatcrank.orders import (
    demand,
    ledger,
    load_ceiling,
    order,
    placement,
    tenure,
)
from oatcrank.routing import need, route, route_table, server_table

UNREACHABLE_S = 1.0
# How long an adapter takes to arrive, and how soon to ask again for one.
ADAPTER_LOAD_S = 0.02
ASK_AGAIN_S = 0.25
# Who asks is told sooner than this how long it takes.
ANSWER_WITHIN_S = 0.3
ADAPTER_AGAIN_S = 0.1
NO_PLACE_RETURN_S = 1.0
UNLOAD_WAIT_S = 6.0
LOAD_OVERDUE_S = 5.0
LOOK_S = 0.05
# With more requests per slot, some wait at the server.
CROWDED_LOAD = 0.7


OnUnload = Callable[[ids.ServerId, need.Need], None]


class NotOrdered(errors.OatcrankError):
    """Report that something can't be ordered now, and when to ask again."""

    def __init__(self, reason: str, again_s: float, *, hopeless: bool = False):
        """Keep whether waiting for it is of no use."""
        super().__init__(reason)
        self.again_s = again_s
        self.hopeless = hopeless


class NoPlace(NotOrdered):
    """Report that nothing may make way for a model."""


class Placed(msgspec.Struct, frozen=True, kw_only=True):
    """Say where something is held, or when to ask again, in seconds."""

    wait_s: float
    server_id: ids.ServerId | None = None


def suspended_time() -> float:
    """Return seconds on a clock that runs on while a machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


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
        self.on_unload: OnUnload = _tell_nobody
        self.turn: tenure.Tenure | None = None
        self.last_order_s = -math.inf
        self._instance_id = instance_id
        self._servers = servers
        self._routes = routes
        self._sender = sender
        self._ledger_by_id: dict[ids.ServerId, ledger.Ledger] = {}
        self._lock_by_id: dict[ids.ServerId, asyncio.Lock] = (
            collections.defaultdict(asyncio.Lock)
        )
        self._ceiling_by_service: dict[
            ids.ServiceName,
            load_ceiling.LoadCeiling,
        ] = {}
        self._work_by_need: dict[need.Need, asyncio.Task[Placed]] = {}
        self._ready_s_by_need: dict[need.Need, float] = {}
        # Models whose place is being made, up to the order to load them.
        self._placing: set[need.Need] = set()

    def begin(self, turn: tenure.Tenure) -> None:
        """Take up a turn; nothing known of before counts."""
        self.turn = turn
        self._ledger_by_id.clear()
        self._ceiling_by_service.clear()

    def stop(self) -> None:
        """Give no more orders."""
        self.turn = None

    def store_loads(self) -> int | None:
        """Return how many loads of the last seconds count, if that is known."""
        now_s = suspended_time()
        known = [one.recent(now_s) for one in self._ceiling_by_service.values()]
        if known:
            return sum(known)
        return 0 if self.turn is None else self.turn.former_loads

    async def arrange(
        self,
        wanted: need.Need,
        unusable: tuple[ids.ServerId, ...],
    ) -> Placed:
        """Return where something is held, or raise NotOrdered."""
        if self.turn is None:
            raise NotOrdered('this instance gives no orders', ASK_AGAIN_S)
        self._follow_listings(wanted.service)
        self.asked.note_use(wanted, suspended_time())
        held = self._held(wanted, unusable)
        if held is not None:
            return held
        work = self._work_by_need.get(wanted)
        if work is None:
            work = asyncio.ensure_future(self._load(wanted, unusable))
            self._work_by_need[wanted] = work
            work.add_done_callback(
                lambda _: self._work_by_need.pop(wanted, None),
            )
        done, _ = await asyncio.wait((work,), timeout=ANSWER_WITHIN_S)
        if done:
            return work.result()
        return Placed(wait_s=self._left_s(wanted))

    def _left_s(self, wanted: need.Need) -> float:
        """Return how much longer an arrangement under way probably takes."""
        ready_s = self._ready_s_by_need.get(
            need.Need(wanted.service, wanted.model),
            float('-inf'),
        )
        return max(ASK_AGAIN_S, ready_s - suspended_time())

    async def balance(self) -> None:
        """Begin one more load of the model that wants a replica most."""
        configuration = self._routes.configuration
        if self.turn is None or configuration is None:
            return
        for service in configuration.service_by_name.values():
            if service.engine is not None:
                self._follow_listings(service.name)
                await self._replicate(service.name, service.engine)

    async def _replicate(
        self,
        service: ids.ServiceName,
        engine: route.Engine,
    ) -> None:
        now_s = suspended_time()
        if self.turn is None or not self.turn.may_order(now_s):
            return
        shortages = self._placement(service, engine, ()).shortages(now_s)
        for gain, name in reversed(shortages):
            wanted = need.Need(service, name)
            try:
                await self._load_model(wanted, (), gain=gain)
            except NoPlace:
                continue
            return

    # What is held

    def _follow_listings(self, service: ids.ServiceName) -> None:
        for one in self._servers.of_service(service):
            known = self._ledger_by_id.get(one.server_id)
            if known is None or not known.listed.is_same_process(one.listed):
                self._ledger_by_id[one.server_id] = ledger.Ledger(one.listed)
            elif known.listed is not one.listed:
                known.take_listing(one.listed)

    def _ledgers(self, service: ids.ServiceName) -> list[ledger.Ledger]:
        return [
            self._ledger_by_id[one.server_id]
            for one in self._servers.of_service(service)
            if one.server_id in self._ledger_by_id
        ]

    def _held(
        self,
        wanted: need.Need,
        unusable: tuple[ids.ServerId, ...],
    ) -> Placed | None:
        now_s = suspended_time()
        soonest: Placed | None = None
        for one in self._ledgers(wanted.service):
            wait_s = _wait_s(one, wanted, now_s)
            if wait_s is None or one.listed.server_id in unusable:
                continue
            if not one.reachable(now_s):
                continue
            if soonest is None or wait_s < soonest.wait_s:
                server_id = one.listed.server_id if wait_s <= 0 else None
                soonest = Placed(wait_s=max(0, wait_s), server_id=server_id)
        return soonest

    # Loads

    async def _load(
        self,
        wanted: need.Need,
        unusable: tuple[ids.ServerId, ...],
    ) -> Placed:
        await self._refresh(wanted.service)
        held = self._held(wanted, unusable)
        if held is not None:
            return held
        if wanted.adapter is None:
            return await self._load_model(wanted, unusable)
        model_only = need.Need(wanted.service, wanted.model)
        if self._held(model_only, unusable) is None:
            return await self._load_model(model_only, unusable)
        return await self._load_adapter(wanted, unusable)

    async def _load_model(
        self,
        wanted: need.Need,
        unusable: tuple[ids.ServerId, ...],
        *,
        gain: float | None = None,
    ) -> Placed:
        self._check_turn()
        if wanted in self._placing:
            return Placed(wait_s=self._left_s(wanted))
        engine = self._engine(wanted.service)
        now_s = suspended_time()
        ceiling = self._ceiling(wanted.service, engine)
        if wanted.model is None:
            raise NotOrdered('no model named', 0, hopeless=True)
        chosen = self._placement(wanted.service, engine, unusable).model(
            wanted.model,
            now_s,
            store_loads=ceiling.has_room(now_s),
            gain=gain,
        )
        if chosen is None:
            raise NoPlace('no place for the model', NO_PLACE_RETURN_S)
        logs.event(
            'model_placed',
            model=wanted.model,
            server=chosen.server_id,
            unload=','.join(model for model, _ in chosen.unload),
            load_s=chosen.load_s,
            from_store=chosen.from_store,
            demand=round(self.asked.model_rate(wanted, now_s), 2),
            running=round(self.asked.running(wanted, now_s), 2),
            replica=gain is not None,
        )
        self._ready_s_by_need[wanted] = now_s + chosen.load_s
        one = self._ledger_by_id[chosen.server_id]
        if chosen.from_store:
            ceiling.note(now_s)
        one.claimed = True
        self._placing.add(wanted)
        try:
            await self._carry_out(
                one,
                chosen,
                engine.model_by_name[wanted.model],
            )
        finally:
            one.claimed = False
            self._placing.discard(wanted)
        return Placed(wait_s=one.load_s(engine.model_by_name[wanted.model]))

    async def _carry_out(
        self,
        one: ledger.Ledger,
        chosen: placement.Choice,
        wanted: route.Model,
    ) -> None:
        for model, _ in chosen.unload:
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
    ) -> Placed:
        engine = self._engine(wanted.service)
        if wanted.model is None or wanted.adapter is None:
            raise NotOrdered('no adapter named', 0, hopeless=True)
        weighed = self._placement(wanted.service, engine, unusable)
        chosen = weighed.adapter(wanted.model, suspended_time())
        if chosen is None:
            raise NotOrdered('no place for the adapter', ADAPTER_AGAIN_S)
        one = self._ledger_by_id[chosen.server_id]
        async with self._lock_by_id[chosen.server_id]:
            held = self._held(wanted, unusable)
            if held is not None:
                return held
            # Others may have had orders sent while this one waited.
            chosen = weighed.adapter_at(one, wanted.model, suspended_time())
            if chosen is None:
                raise NotOrdered('the place is taken', ADAPTER_AGAIN_S)
            for model, adapter in chosen.unload:
                await self._send(one, order.Action.unload, model, adapter, 0)
            if one.work is not None:
                raise NotOrdered('the place is in use', ADAPTER_AGAIN_S)
            await self._send(
                one,
                order.Action.load,
                wanted.model,
                wanted.adapter,
                0,
            )
        return Placed(wait_s=ADAPTER_LOAD_S, server_id=chosen.server_id)

    async def _idle(self, one: ledger.Ledger) -> None:
        """Wait until a server has carried out an order."""
        ends_s = suspended_time() + UNLOAD_WAIT_S
        while one.work is not None:
            if suspended_time() > ends_s:
                one.distrust()
                raise NotOrdered('an unload takes too long', ASK_AGAIN_S)
            await self._servers.changed(LOOK_S)
            self._follow_listings(one.listed.service)

    # Orders

    async def _order(
        self,
        one: ledger.Ledger,
        action: order.Action,
        model: ids.ModelName,
        adapter: ids.AdapterName | None,
        takes_s: float,
    ) -> None:
        async with self._lock_by_id[one.listed.server_id]:
            await self._send(one, action, model, adapter, takes_s)

    async def _send(
        self,
        one: ledger.Ledger,
        action: order.Action,
        model: ids.ModelName,
        adapter: ids.AdapterName | None,
        takes_s: float,
    ) -> None:
        turn = self._check_turn()
        if one.orders_taken is None:
            raise NotOrdered('what the server holds is unknown', ASK_AGAIN_S)
        wish = order.Order(
            action=action,
            model=model,
            adapter=adapter,
            orders_taken=one.orders_taken,
            holder=self._instance_id,
            fence=ids.Fence(turn.fence),
        )
        self._note_sent(one)
        outcome = await self._sender.send(one.listed, wish)
        self._note_sent(one)
        logs.event(
            'order',
            server=one.listed.server_id,
            action=action.value,
            model=model,
            adapter=adapter or '',
            orders_taken=wish.orders_taken,
            fence=wish.fence,
            outcome=outcome.name,
        )
        self._settle(one, wish, outcome, takes_s)

    def _settle(
        self,
        one: ledger.Ledger,
        wish: order.Order,
        outcome: order.Outcome,
        takes_s: float,
    ) -> None:
        now_s = suspended_time()
        if outcome is order.Outcome.accepted:
            one.take(wish, now_s, now_s + takes_s)
            if wish.action is order.Action.unload and not wish.adapter:
                self.on_unload(
                    one.listed.server_id,
                    need.Need(one.listed.service, wish.model),
                )
            return
        if outcome is order.Outcome.done:
            one.take(wish, now_s, now_s)
            one.finish_work()
            return
        if outcome is order.Outcome.unsent:
            one.unreachable_until_s = now_s + UNREACHABLE_S
        else:
            one.distrust()
        raise NotOrdered(f'order: {outcome.value}', ASK_AGAIN_S)

    def _note_sent(self, one: ledger.Ledger) -> None:
        one.last_order_s = suspended_time()
        self.last_order_s = one.last_order_s

    def _check_turn(self) -> tenure.Tenure:
        now_s = suspended_time()
        turn = self.turn
        if turn is None:
            raise NotOrdered('this instance gives no orders', ASK_AGAIN_S)
        if not turn.may_order(now_s):
            raise NotOrdered(
                'the turn has not begun or is over',
                max(LOOK_S, turn.start_s() - now_s),
            )
        return turn

    # Knowledge

    async def _refresh(self, service: ids.ServiceName) -> None:
        now_s = suspended_time()
        await asyncio.gather(
            *(
                self._read_report(one)
                for one in self._ledgers(service)
                if one.needs_report(now_s)
            ),
        )

    async def _read_report(self, one: ledger.Ledger) -> None:
        async with self._lock_by_id[one.listed.server_id]:
            if not one.needs_report(suspended_time()):
                return
            one.note_report(suspended_time())
            told = await self._sender.report(one.listed)
            now_s = suspended_time()
            if told is None:
                one.unreachable_until_s = now_s + UNREACHABLE_S
                return
            one.take_report(told, now_s)
            logs.event(
                'server_report',
                server=one.listed.server_id,
                orders_taken=told.orders_taken,
                busy=told.busy,
                models=','.join(told.adapters_by_model),
            )

    def _placement(
        self,
        service: ids.ServiceName,
        engine: route.Engine,
        unusable: tuple[ids.ServerId, ...],
    ) -> placement.Placement:
        usable = [
            one
            for one in self._ledgers(service)
            if one.listed.server_id not in unusable
        ]
        now_s = time.monotonic()
        crowded = frozenset(
            one.server_id
            for one in self._servers.of_service(service)
            if one.load(now_s) > CROWDED_LOAD
        )
        return placement.Placement(
            usable,
            engine,
            self.asked,
            service,
            crowded=crowded,
        )

    def _engine(self, service: ids.ServiceName) -> route.Engine:
        configuration = self._routes.configuration
        found = (
            configuration and configuration.service_by_name.get(service)
        ) or None
        if found is None or found.engine is None:
            raise NotOrdered('the service has no models', 0, hopeless=True)
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


def _tell_nobody(server_id: ids.ServerId, dropped: need.Need) -> None:
    """Be what is called where nobody wants to know."""


def _wait_s(
    one: ledger.Ledger,
    wanted: need.Need,
    now_s: float,
) -> float | None:
    """Return how long until a server holds something, or None."""
    if wanted.model is None or not _lists(one, wanted, wanted.model):
        return None
    work = one.work
    if work is None or work.one.model != wanted.model:
        return 0
    if work.one.action is order.Action.unload:
        return None
    if now_s > work.ends_s + LOAD_OVERDUE_S:
        one.distrust()
        return None
    return max(LOOK_S, work.ends_s - now_s)


def _lists(
    one: ledger.Ledger,
    wanted: need.Need,
    model: ids.ModelName,
) -> bool:
    held = one.adapters_by_model.get(model)
    if held is None:
        return False
    return wanted.adapter is None or wanted.adapter in held
