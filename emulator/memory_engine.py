"""Stand in for a model engine inside one process, with faults."""

import asyncio
import collections
import enum
from collections.abc import Mapping

import msgspec

from oatcrank import clock, errors, ids
from oatcrank.engines import engine, order

Order = order.Order


class Fault(enum.Enum):
    """Say what happens to one coming order."""

    drop = 'drop'
    lose_request = 'lose_request'
    lose_answer = 'lose_answer'
    delay = 'delay'
    double = 'double'
    freeze = 'freeze'


class LateOrder(msgspec.Struct, frozen=True):
    """Hold an order on its way; expires is on the engine's clock."""

    wanted: Order
    expires: float


class _Loaded(msgspec.Struct, frozen=True):
    model: ids.ModelName
    ready_at: float
    running: int = 0
    adapters: tuple[ids.AdapterName, ...] = ()


class _Past(msgspec.Struct, frozen=True):
    at: float
    boot_id: str
    fence: ids.Fence
    loaded: tuple[_Loaded, ...]


class MemoryEngine(engine.ModelEngine):
    """Keep account of memory; the public attributes switch faults on.

    faults: what happens to the next orders, one each; frozen orders wait for
    the gate, as if their sender had been stopped just before the send.
    late: orders that may still arrive by deliver, until they expire.
    excess and cuts: what must never happen, as the engine saw it.
    """

    def __init__(
        self,
        server_id: ids.ServerId,
        memory_mb: int,
        memory_by_name: Mapping[str, int],
        time_source: clock.Clock,
        *,
        checks_fencing: bool = True,
    ) -> None:
        """Start empty; memory_by_name covers models and adapters."""
        self.lag_s: float = 0
        self.load_s: float = 0
        self.delivery_s: float = 0
        self.is_down = False
        self.is_leaving = False
        self.faults: collections.deque[Fault] = collections.deque()
        self.gate = asyncio.Event()
        self.late: list[LateOrder] = []
        self.taken: list[Order] = []
        self.excess: list[str] = []
        self.cuts: list[str] = []
        self._server_id = server_id
        self._memory_mb = memory_mb
        self._memory_by_name = memory_by_name
        self._clock = time_source
        self._checks_fencing = checks_fencing
        self._now = _Past(time_source.now(), '0', ids.Fence(0), ())
        self._past = [self._now]

    async def order(self, wanted: Order, *, timeout_s: float) -> None:
        """Take an order, or do what the next fault says."""
        fault = self.faults.popleft() if self.faults else None
        if fault is Fault.freeze:
            await self.gate.wait()
        if self.is_down:
            raise errors.Unavailable(f'{self._server_id} is down')
        if fault is Fault.lose_request:
            raise errors.UnknownOutcome('the request was lost')
        if fault in {Fault.delay, Fault.double}:
            expires = self._clock.now() + self.delivery_s
            self.late.append(LateOrder(wanted, expires))
        if fault is Fault.delay:
            raise errors.UnknownOutcome('the request is late')
        if fault is not Fault.drop:
            self._take(wanted)
        if fault is Fault.lose_answer:
            raise errors.UnknownOutcome('the answer was lost')

    async def report(self, *, timeout_s: float) -> engine.EngineReport:
        """Return the state of lag_s ago."""
        if self.is_down:
            raise errors.Unavailable(f'{self._server_id} is down')
        shown = self._clock.now() - self.lag_s
        seen = self._past[0]
        for past in self._past:
            if past.at <= shown:
                seen = past
        held = tuple(
            engine.HeldModel(
                model=loaded.model,
                memory_mb=self._used_mb(loaded),
                ready=loaded.ready_at <= shown,
                running=loaded.running,
                adapters=loaded.adapters,
            )
            for loaded in seen.loaded
        )
        return engine.EngineReport(
            server_id=self._server_id,
            boot_id=seen.boot_id,
            memory_mb=self._memory_mb,
            used_mb=sum(one.memory_mb for one in held),
            fence=seen.fence,
            slots=1,
            running=sum(one.running for one in held),
            queued=0,
            held=held,
            leaving=self.is_leaving,
        )

    async def cancel(self, request_id: ids.RequestId) -> None:
        """Do nothing: requests are only counted here."""

    def deliver(self, index: int) -> None:
        """Let a late order arrive unless it has expired."""
        arriving = self.late.pop(index)
        if arriving.expires >= self._clock.now() and not self.is_down:
            try:
                self._take(arriving.wanted)
            except errors.Conflict:
                return

    def restart(self) -> None:
        """Lose everything, as a restarted engine does."""
        boot_id = str(int(self._now.boot_id) + 1)
        self._set(_Past(self._clock.now(), boot_id, ids.Fence(0), ()))

    def models(self) -> tuple[ids.ModelName, ...]:
        """Return the models held now."""
        return tuple(loaded.model for loaded in self._now.loaded)

    def work(self, model: ids.ModelName, by: int) -> bool:
        """Change how many requests run on a model; return if it is ready."""
        for loaded in self._now.loaded:
            if loaded.model == model and loaded.ready_at <= self._clock.now():
                running = max(0, loaded.running + by)
                self._put(msgspec.structs.replace(loaded, running=running))
                return True
        return False

    def _take(self, wanted: Order) -> None:
        if self._checks_fencing and wanted.fence < self._now.fence:
            raise errors.Conflict(self._server_id, self._now.fence)
        fence = max(self._now.fence, wanted.fence)
        self._now = msgspec.structs.replace(self._now, fence=fence)
        self.taken.append(wanted)
        found = [one for one in self._now.loaded if one.model == wanted.model]
        if wanted.kind is order.OrderKind.unload_model:
            self._unload(wanted.model, found)
        elif wanted.kind is order.OrderKind.load_model and not found:
            ready_at = self._clock.now() + self.load_s
            self._put(_Loaded(wanted.model, ready_at))
        elif wanted.kind is order.OrderKind.load_adapter and found:
            adapters = {*found[0].adapters, wanted.adapter}
            self._put(
                msgspec.structs.replace(
                    found[0],
                    adapters=tuple(sorted(adapters)),
                ),
            )

    def _unload(self, model: ids.ModelName, found: list[_Loaded]) -> None:
        if found and found[0].running:
            self.cuts.append(model)
        self._set(self._changed(without=model))

    def _put(self, loaded: _Loaded) -> None:
        rest = self._changed(without=loaded.model)
        self._set(
            msgspec.structs.replace(rest, loaded=(*rest.loaded, loaded)),
        )

    def _changed(self, *, without: ids.ModelName) -> _Past:
        rest = tuple(one for one in self._now.loaded if one.model != without)
        return msgspec.structs.replace(
            self._now,
            at=self._clock.now(),
            loaded=rest,
        )

    def _set(self, state: _Past) -> None:
        self._now = state
        self._past.append(state)
        used_mb = sum(map(self._used_mb, state.loaded))
        if used_mb > self._memory_mb:
            self.excess.append(f'{used_mb} MB: {self.models()}')

    def _used_mb(self, loaded: _Loaded) -> int:
        names = (loaded.model, *loaded.adapters)
        return sum(self._memory_by_name.get(name, 0) for name in names)
