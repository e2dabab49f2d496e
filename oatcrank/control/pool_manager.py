"""Run the controllers of all pools of one weight store, under one lease."""

import asyncio

from oatcrank import errors, ids, logs
from oatcrank.control import (
    control_dependencies,
    load_budget,
    model_need,
    pool_controller,
    pool_manager_dependencies,
    superseded_controller,
)
from oatcrank.membership import instance_list
from oatcrank.store import weight_store

CATALOGUE_PERIOD_S = 30.0
CATALOGUE_RETRY_S = 1.0
POOLS_PERIOD_S = 0.5

NeedByModel = dict[ids.ModelName, model_need.ModelNeed]


class PoolManager:
    """Start a controller for each pool that the platform lists."""

    def __init__(
        self, dependencies: pool_manager_dependencies.PoolManagerDependencies
    ) -> None:
        """Start without controllers."""
        self._dependencies = dependencies
        self._catalogue = weight_store.Catalogue()
        self._budget = load_budget.LoadBudget(
            dependencies.settings.weight_store,
            dependencies.clock,
        )
        self._controller_by_pool: dict[
            ids.PoolName,
            pool_controller.PoolController,
        ] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Start a controller for each new pool until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read_catalogue())
                while True:
                    self._start_new_pools(group)
                    await asyncio.sleep(POOLS_PERIOD_S)
        finally:
            logs.event('control_ended')

    def stop_sending_below(self, fence: ids.Fence) -> bool:
        """Stop sending below a fence; return whether no send is in flight."""
        stopped = [
            controller.stop_sending_below(fence)
            for controller in self._controller_by_pool.values()
        ]
        return all(stopped)

    def _start_new_pools(self, group: asyncio.TaskGroup) -> None:
        pools = {
            server.pool
            for server in self._dependencies.servers.listed() or ()
            if server.kind is instance_list.Kind.engine
        }
        for pool in pools - self._controller_by_pool.keys():
            controller = pool_controller.PoolController(
                pool,
                self._controller_dependencies(pool),
                self._dependencies.settings.control,
                self._budget,
                clock=self._dependencies.clock,
            )
            self._controller_by_pool[pool] = controller
            group.create_task(controller.run())

    def _controller_dependencies(
        self, pool: ids.PoolName
    ) -> control_dependencies.ControlDependencies:
        async def is_replica_idle(
            server: ids.ServerId,
            model: ids.ModelName,
            version: int,
        ) -> bool:
            return await self._dependencies.control_peers.is_idle(
                pool, server, model, version
            )

        async def has_stopped(
            superseded: superseded_controller.SupersededController,
        ) -> bool:
            return await self._dependencies.control_peers.has_stopped(
                superseded
            )

        return control_dependencies.ControlDependencies(
            own=self._dependencies.members.own,
            lease=self._dependencies.lease,
            store=self._dependencies.store,
            policy=self._dependencies.new_policy(),
            metrics=self._dependencies.metrics,
            listed_instances=self._dependencies.servers.listed,
            engine_of=self._dependencies.control_peers.engine_of,
            model_needs=lambda: self._needs(pool),
            take_demand=self._dependencies.demand_totals.take_demand,
            is_replica_idle=is_replica_idle,
            has_stopped=has_stopped,
            publish=self._dependencies.publish,
        )

    def _needs(self, pool: ids.PoolName) -> NeedByModel:
        needs = model_need.needs_of(
            self._catalogue,
            pool,
            self._dependencies.profile_index.adapters_of,
        )
        return {
            model: need
            for model, need in needs.items()
            if model in self._dependencies.profile_index.weight_by_model
        }

    async def _read_catalogue(self) -> None:
        while True:
            try:
                self._catalogue = (
                    await self._dependencies.weight_store.catalogue()
                )
            except errors.PlatformError as error:
                logs.event('catalogue_unavailable', error=error)
                await asyncio.sleep(CATALOGUE_RETRY_S)
            else:
                await asyncio.sleep(CATALOGUE_PERIOD_S)
