"""Carry out an engine stand-in's orders."""

import asyncio

from emulator import (
    engine_batch,
    engine_config,
    engine_faults,
    engine_memory,
    fault_box,
    weight_load,
    weight_sizes,
    work,
)
from oatcrank import errors, ids, rpc
from oatcrank.engines import order

DOUBLE_DELAY_S = 1.0
LOAD_TIMEOUT_S = 600


class EngineOrders:
    """Load and unload as ordered, whether memory allows it or not."""

    def __init__(
        self,
        config: engine_config.EngineConfig,
        faults: fault_box.FaultBox[engine_faults.EngineFaults],
        memory: engine_memory.EngineMemory,
        batch: engine_batch.EngineBatch,
    ) -> None:
        """Start with no order taken."""
        self.fence = ids.Fence(0)
        self.sizes = weight_sizes.WeightSizes(config.weight_store)
        self._config = config
        self._faults = faults
        self._memory = memory
        self._batch = batch
        self._client = rpc.Rpc()
        self._tasks: set[asyncio.Task[None]] = set()

    def is_old(self, wanted: order.Order) -> bool:
        """Return whether this engine refuses the order's fence."""
        return self._config.checks_fencing and wanted.fence < self.fence

    def take(self, wanted: order.Order) -> None:
        """Carry out an order, now or later as the faults say."""
        if self._faults.take('drop_orders'):
            return
        faults = self._faults.current
        self._spawn(wanted, faults.delay_orders_s)
        if faults.double_orders:
            self._spawn(wanted, faults.delay_orders_s + DOUBLE_DELAY_S)

    def _spawn(self, wanted: order.Order, delay_s: float) -> None:
        if not delay_s:
            self.fence = max(self.fence, wanted.fence)
        task = asyncio.create_task(self._carry_out(wanted, delay_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry_out(self, wanted: order.Order, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if self.is_old(wanted):
            return
        self.fence = max(self.fence, wanted.fence)
        await self._change(wanted)

    async def _change(self, wanted: order.Order) -> None:
        if wanted.kind is order.OrderKind.load_model:
            await self._load_model(wanted.model)
        elif wanted.kind is order.OrderKind.load_adapter:
            await self._load_adapter(wanted.model, wanted.adapter)
        elif wanted.kind is not order.OrderKind.change_role:
            self._forget(wanted)

    async def _load_model(self, model: str) -> None:
        memory_mb = await self.sizes.model_mb(model)
        if memory_mb is None or model in self._memory.held_by_model:
            return
        held = self._memory.add_model(model, memory_mb)
        held.ready = await self._fetch(model, '')
        if not held.ready and self._memory.held_by_model.get(model) is held:
            self._memory.held_by_model.pop(model)

    async def _load_adapter(self, model: str, adapter: str) -> None:
        memory_mb = await self.sizes.adapter_mb(model, adapter)
        held = self._memory.held_by_model.get(model)
        if memory_mb is None or held is None or adapter in held.mb_by_adapter:
            return
        self._memory.add_adapter(model, adapter, memory_mb)
        if not await self._fetch(model, adapter):
            held.mb_by_adapter.pop(adapter, None)
        elif adapter in held.mb_by_adapter:
            held.ready_adapters.add(adapter)

    def _forget(self, wanted: order.Order) -> None:
        if wanted.adapter:
            self._memory.drop_adapter(wanted.model, wanted.adapter)
        else:
            self._memory.held_by_model.pop(wanted.model, None)
        for running in (*self._batch.queued, *self._batch.running):
            asked = running.asked
            uses_adapter = wanted.adapter in {'', asked.adapter}
            if asked.model == wanted.model and uses_adapter:
                self._batch.stop(running, work.End.not_loaded)

    async def _fetch(self, model: str, adapter: str) -> bool:
        load = weight_load.WeightLoad(
            server_id=self._config.server_id, model=model, adapter=adapter
        )
        try:
            await self._client.post(
                self._config.weight_store,
                '/v1/loads',
                load,
                weight_load.WeightLoad,
                timeout_s=LOAD_TIMEOUT_S,
            )
        except (errors.PlatformError, rpc.RpcStatusError):
            return False
        return True
