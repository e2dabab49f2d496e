"""In-process stand-in for a model engine, with injectable faults."""

import asyncio
import collections
import enum
from collections.abc import Mapping

import msgspec

from oatcrank import clock, errors, ids
from oatcrank.engines import engine, order

Order = order.Order


class Fault(enum.Enum):
    """Fault that applies to one order.

    drop: the order is accepted without effect.
    lose_request: the order does not arrive; the outcome is unknown.
    lose_answer: the order takes effect, but its answer is lost.
    delay: the order is held until deliver_late_order; the outcome is unknown.
    double: the order takes effect, and a copy is held as for delay.
    freeze: the order waits for frozen_orders_released before it is sent.
    """

    drop = 'drop'
    lose_request = 'lose_request'
    lose_answer = 'lose_answer'
    delay = 'delay'
    double = 'double'
    freeze = 'freeze'


class LateOrder(msgspec.Struct, frozen=True):
    """Order still in transit; expires_at is a time of the engine's clock."""

    order: Order
    expires_at: float


class _LoadedModel(msgspec.Struct, frozen=True):
    model: ids.ModelName
    ready_at: float
    running: int = 0
    adapters: tuple[ids.AdapterName, ...] = ()


class _EngineState(msgspec.Struct, frozen=True):
    at: float
    boot_id: str
    fence: ids.Fence
    loaded: tuple[_LoadedModel, ...]


class MemoryEngine(engine.ModelEngine):
    """Engine that tracks its memory; public attributes inject faults.

    faults: faults of the next orders, one each.
    frozen_orders_released: event that a frozen order waits for, as if its
    sender had been suspended just before the send.
    late_orders: orders that deliver_late_order can execute before they expire.
    memory_excesses: each time that models used more memory than there is.
    interrupted_models: models that were unloaded while they ran requests.
    """

    def __init__(
        self,
        server_id: ids.ServerId,
        memory_mb: int,
        memory_by_name: Mapping[str, int],
        clock: clock.Clock,
        *,
        checks_fencing: bool = True,
    ) -> None:
        """Start empty; memory_by_name covers models and adapters."""
        self.report_lag_s: float = 0
        self.load_s: float = 0
        self.max_delivery_s: float = 0
        self.is_down = False
        self.is_leaving = False
        self.faults: collections.deque[Fault] = collections.deque()
        self.frozen_orders_released = asyncio.Event()
        self.late_orders: list[LateOrder] = []
        self.executed_orders: list[Order] = []
        self.memory_excesses: list[str] = []
        self.interrupted_models: list[str] = []
        self._server_id = server_id
        self._memory_mb = memory_mb
        self._memory_by_name = memory_by_name
        self._clock = clock
        self._checks_fencing = checks_fencing
        self._state = _EngineState(clock.now(), '0', ids.Fence(0), ())
        self._states = [self._state]

    async def order(self, new_order: Order, *, timeout_s: float) -> None:
        """Execute an order, or apply the next fault to it."""
        fault = self.faults.popleft() if self.faults else None
        if fault is Fault.freeze:
            await self.frozen_orders_released.wait()
        if self.is_down:
            raise errors.Unavailable(f'{self._server_id} is down')
        if fault is Fault.lose_request:
            raise errors.UnknownOutcome('the request was lost')
        if fault in {Fault.delay, Fault.double}:
            expires_at = self._clock.now() + self.max_delivery_s
            self.late_orders.append(LateOrder(new_order, expires_at))
        if fault is Fault.delay:
            raise errors.UnknownOutcome('the request is late')
        if fault is not Fault.drop:
            self._execute(new_order)
        if fault is Fault.lose_answer:
            raise errors.UnknownOutcome('the answer was lost')

    async def report(self, *, timeout_s: float) -> engine.EngineReport:
        """Return the state as it was report_lag_s ago."""
        if self.is_down:
            raise errors.Unavailable(f'{self._server_id} is down')
        reported_at = self._clock.now() - self.report_lag_s
        reported = self._states[0]
        for state in self._states:
            if state.at <= reported_at:
                reported = state
        held = tuple(
            engine.HeldModel(
                model=loaded.model,
                memory_mb=self._used_mb(loaded),
                ready=loaded.ready_at <= reported_at,
                running=loaded.running,
                adapters=loaded.adapters,
            )
            for loaded in reported.loaded
        )
        return engine.EngineReport(
            server_id=self._server_id,
            boot_id=reported.boot_id,
            memory_mb=self._memory_mb,
            used_mb=sum(model.memory_mb for model in held),
            fence=reported.fence,
            slots=1,
            running=sum(model.running for model in held),
            queued=0,
            held=held,
            leaving=self.is_leaving,
        )

    async def cancel(self, request_id: ids.RequestId) -> None:
        """Do nothing: the engine only counts its requests."""

    def deliver_late_order(self, index: int) -> None:
        """Execute a late order unless it has expired."""
        late_order = self.late_orders.pop(index)
        if late_order.expires_at >= self._clock.now() and not self.is_down:
            try:
                self._execute(late_order.order)
            except errors.Conflict:
                return

    def restart(self) -> None:
        """Lose all models and the fence, as a restarted engine does."""
        boot_id = str(int(self._state.boot_id) + 1)
        self._set_state(
            _EngineState(self._clock.now(), boot_id, ids.Fence(0), ())
        )

    def models(self) -> tuple[ids.ModelName, ...]:
        """Return the models that are loaded or loading."""
        return tuple(loaded.model for loaded in self._state.loaded)

    def change_running(self, model: ids.ModelName, delta: int) -> bool:
        """Change the running requests of a model if ready; return if it is."""
        for loaded in self._state.loaded:
            if loaded.model == model and loaded.ready_at <= self._clock.now():
                running = max(0, loaded.running + delta)
                self._replace(msgspec.structs.replace(loaded, running=running))
                return True
        return False

    def _execute(self, new_order: Order) -> None:
        if self._checks_fencing and new_order.fence < self._state.fence:
            raise errors.Conflict(self._server_id, self._state.fence)
        fence = max(self._state.fence, new_order.fence)
        self._state = msgspec.structs.replace(self._state, fence=fence)
        self.executed_orders.append(new_order)
        loaded = next(
            (
                model
                for model in self._state.loaded
                if model.model == new_order.model
            ),
            None,
        )
        if new_order.kind is order.OrderKind.unload_model:
            self._unload(new_order.model, loaded)
        elif new_order.kind is order.OrderKind.load_model and not loaded:
            ready_at = self._clock.now() + self.load_s
            self._replace(_LoadedModel(new_order.model, ready_at))
        elif new_order.kind is order.OrderKind.load_adapter and loaded:
            adapters = {*loaded.adapters, new_order.adapter}
            self._replace(
                msgspec.structs.replace(
                    loaded,
                    adapters=tuple(sorted(adapters)),
                ),
            )

    def _unload(
        self, model: ids.ModelName, loaded: _LoadedModel | None
    ) -> None:
        if loaded and loaded.running:
            self.interrupted_models.append(model)
        self._set_state(self._state_without(model))

    def _replace(self, loaded: _LoadedModel) -> None:
        rest = self._state_without(loaded.model)
        self._set_state(
            msgspec.structs.replace(rest, loaded=(*rest.loaded, loaded)),
        )

    def _state_without(self, model: ids.ModelName) -> _EngineState:
        rest = tuple(
            loaded for loaded in self._state.loaded if loaded.model != model
        )
        return msgspec.structs.replace(
            self._state,
            at=self._clock.now(),
            loaded=rest,
        )

    def _set_state(self, state: _EngineState) -> None:
        self._state = state
        self._states.append(state)
        used_mb = sum(map(self._used_mb, state.loaded))
        if used_mb > self._memory_mb:
            self.memory_excesses.append(f'{used_mb} MB: {self.models()}')

    def _used_mb(self, loaded: _LoadedModel) -> int:
        names = (loaded.model, *loaded.adapters)
        return sum(self._memory_by_name.get(name, 0) for name in names)
