"""Load adapters on demand, within this instance's share of the limit."""

import asyncio
import contextlib
import uuid
from collections.abc import AsyncIterator

from oatcrank import errors, ids
from oatcrank.control import plan_view
from oatcrank.engines import backend_server, engine, order
from oatcrank.membership import members

CALL_TIMEOUT_S = 1.0
MAX_READY_POLLS = 40
READY_POLL_S = 0.005

AdapterKey = tuple[str, ids.ModelName, ids.AdapterName]


class AdapterLoader:
    """Load adapters for which the plan has reserved memory."""

    def __init__(
        self,
        *,
        plans: plan_view.PlanView,
        members: members.Members,
        max_concurrent_loads: int,
    ) -> None:
        """Share a limit of max_concurrent_loads with the peers."""
        self._plans = plans
        self._members = members
        self._max_concurrent_loads = max_concurrent_loads
        self._loaded: set[AdapterKey] = set()
        self._loading: dict[AdapterKey, asyncio.Task[None]] = {}
        self._active_load_count = 0
        self._load_ended = asyncio.Condition()

    async def ensure_loaded(
        self,
        server: backend_server.BackendServer,
        target: engine.ModelEngine,
        model: ids.ModelName,
        adapter: ids.AdapterName,
    ) -> None:
        """Return once the adapter is loaded; raises errors.NotLoaded."""
        key = (server.listed.instance_id, model, adapter)
        if key in self._loaded:
            return
        task = self._loading.get(key)
        if task is None:
            task = asyncio.create_task(self._load(key, target))
            self._loading[key] = task
            task.add_done_callback(lambda _: self._loading.pop(key))
        await asyncio.shield(task)

    def forget(
        self,
        server: backend_server.BackendServer,
        model: ids.ModelName,
    ) -> None:
        """Forget the loaded adapters of a model that the server has lost."""
        name = server.listed.instance_id
        self._loaded = {
            key for key in self._loaded if (key[0], key[1]) != (name, model)
        }

    async def _load(self, key: AdapterKey, target: engine.ModelEngine) -> None:
        server, model, adapter = key
        async with self._load_slot():
            await self._order(key, target)
            for _ in range(MAX_READY_POLLS):
                if await _is_loaded(target, model, adapter):
                    self._loaded.add(key)
                    return
                await asyncio.sleep(READY_POLL_S)
        raise errors.NotLoaded(f'{server}: {adapter} did not load')

    async def _order(self, key: AdapterKey, target: engine.ModelEngine) -> None:
        server, model, adapter = key
        fence = self._fence(server, model, adapter)
        new_order = order.Order(
            order_id=ids.OrderId(uuid.uuid4().hex),
            fence=fence,
            kind=order.OrderKind.load_adapter,
            model=model,
            adapter=adapter,
        )
        try:
            await target.order(new_order, timeout_s=CALL_TIMEOUT_S)
        except errors.PlatformError as error:
            raise errors.NotLoaded(f'{server}: {adapter}: {error}') from error

    def _fence(
        self,
        server: str,
        model: ids.ModelName,
        adapter: ids.AdapterName,
    ) -> ids.Fence:
        for replica in self._plans.replicas_of(model):
            if replica.server == server and adapter in replica.adapters:
                return max(
                    plan.fence
                    for plan in self._plans.plan_by_pool.values()
                    if replica in plan.replicas
                )
        raise errors.NotLoaded(
            f'{server}: the plan reserves no memory for {adapter}'
        )

    @contextlib.asynccontextmanager
    async def _load_slot(self) -> AsyncIterator[None]:
        async with self._load_ended:
            await self._load_ended.wait_for(
                lambda: self._active_load_count < max(1, self._load_limit()),
            )
            self._active_load_count += 1
        try:
            yield
        finally:
            async with self._load_ended:
                self._active_load_count -= 1
                self._load_ended.notify_all()

    def _load_limit(self) -> int:
        """Return this instance's share of the limit of all instances."""
        return self._max_concurrent_loads // len(self._members.alive())


async def _is_loaded(
    target: engine.ModelEngine,
    model: ids.ModelName,
    adapter: ids.AdapterName,
) -> bool:
    try:
        report = await target.report(timeout_s=CALL_TIMEOUT_S)
    except errors.PlatformError:
        return False
    return any(
        held.model == model and adapter in held.adapters for held in report.held
    )
