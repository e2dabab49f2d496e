"""Execute the orders of an engine stand-in."""

import asyncio

from emulator import (
    active_faults,
    engine_batch,
    engine_config,
    engine_faults,
    engine_job,
    engine_memory,
    weight_load,
    weight_sizes,
)
from oatcrank import errors, ids, rpc
from oatcrank.engines import order

DOUBLE_DELAY_S = 1.0
LOAD_TIMEOUT_S = 600


class EngineOrders:
    """Load and unload as ordered, even if memory is exceeded."""

    def __init__(
        self,
        config: engine_config.EngineConfig,
        faults: active_faults.ActiveFaults[engine_faults.EngineFaults],
        memory: engine_memory.EngineMemory,
        batch: engine_batch.EngineBatch,
    ) -> None:
        """Create an executor that has received no order."""
        self.fence = ids.Fence(0)
        self.sizes = weight_sizes.WeightSizes(config.weight_store)
        self._config = config
        self._faults = faults
        self._memory = memory
        self._batch = batch
        self._client = rpc.Rpc()
        self._tasks: set[asyncio.Task[None]] = set()

    def has_stale_fence(self, new_order: order.Order) -> bool:
        """Return whether the order must be rejected for its old fence."""
        return self._config.checks_fencing and new_order.fence < self.fence

    def submit(self, new_order: order.Order) -> None:
        """Execute an order, subject to the active faults."""
        if self._faults.consume('drop_orders'):
            return
        faults = self._faults.current
        self._schedule(new_order, faults.delay_orders_s)
        if faults.double_orders:
            self._schedule(new_order, faults.delay_orders_s + DOUBLE_DELAY_S)

    def _schedule(self, new_order: order.Order, delay_s: float) -> None:
        if not delay_s:
            self.fence = max(self.fence, new_order.fence)
        task = asyncio.create_task(self._execute(new_order, delay_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute(self, new_order: order.Order, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if self.has_stale_fence(new_order):
            return
        self.fence = max(self.fence, new_order.fence)
        await self._apply(new_order)

    async def _apply(self, new_order: order.Order) -> None:
        if new_order.kind is order.OrderKind.load_model:
            await self._load_model(new_order.model)
        elif new_order.kind is order.OrderKind.load_adapter:
            await self._load_adapter(new_order.model, new_order.adapter)
        elif new_order.kind is not order.OrderKind.change_role:
            self._unload(new_order)

    async def _load_model(self, model: str) -> None:
        memory_mb = await self.sizes.model_mb(model)
        if memory_mb is None or model in self._memory.held_by_model:
            return
        held = self._memory.add_model(model, memory_mb)
        held.ready = await self._transfer(model, '')
        if not held.ready and self._memory.held_by_model.get(model) is held:
            self._memory.held_by_model.pop(model)

    async def _load_adapter(self, model: str, adapter: str) -> None:
        memory_mb = await self.sizes.adapter_mb(model, adapter)
        held = self._memory.held_by_model.get(model)
        if memory_mb is None or held is None or adapter in held.mb_by_adapter:
            return
        self._memory.add_adapter(model, adapter, memory_mb)
        if not await self._transfer(model, adapter):
            held.mb_by_adapter.pop(adapter, None)
        elif adapter in held.mb_by_adapter:
            held.ready_adapters.add(adapter)

    def _unload(self, new_order: order.Order) -> None:
        if new_order.adapter:
            self._memory.drop_adapter(new_order.model, new_order.adapter)
        else:
            self._memory.held_by_model.pop(new_order.model, None)
        for job in (*self._batch.queued, *self._batch.running):
            body = job.request
            uses_adapter = new_order.adapter in {'', body.adapter}
            if body.model == new_order.model and uses_adapter:
                self._batch.stop(job, engine_job.JobEnd.not_loaded)

    async def _transfer(self, model: str, adapter: str) -> bool:
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
