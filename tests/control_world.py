"""Simulate controllers and engines in one process, step by step."""

import asyncio
from collections.abc import Mapping

from emulator import memory_engine, memory_key_value
from oatcrank import clock, ids, metrics
from oatcrank.control import (
    control_dependencies,
    leadership,
    load_budget,
    model_need,
    plan,
    pool_controller,
    superseded_controller,
)
from oatcrank.engines import engine
from oatcrank.membership import instance_list, member
from oatcrank.placing import placement
from oatcrank.settings import control_settings, weight_store_settings

POOL = ids.PoolName('pool')
DOMAIN = ids.FailureDomain('domain')
SETTINGS = control_settings.ControlSettings()
DELIVERY_S = SETTINGS.delivery_delay_ms / 1000
LAG_S = SETTINGS.report_lag_ms / 1000
SETTLED_S = DELIVERY_S + LAG_S + 0.001
MEMORY_MB = 100
SIZES = {'a': 60, 'b': 50, 'c': 45, 'd': 30}
LOOP_STEPS = 60


class SettableLease(leadership.Leadership):
    """Lease that is held under the set fence."""

    def __init__(self) -> None:
        self.fence: ids.Fence | None = None

    def held_fence(self) -> ids.Fence | None:
        return self.fence


class ScriptedPlacement(placement.PlacementPolicy):
    """Return the set moves once and record the observations."""

    def __init__(self) -> None:
        self.moves: list[placement.Move] = []
        self.observations: list[placement.Observation] = []

    def decide(
        self,
        observation: placement.Observation,
    ) -> tuple[placement.Move, ...]:
        self.observations.append(observation)
        moves = tuple(self.moves)
        self.moves.clear()
        return moves


class Process:
    """Simulate one process that may control the pool."""

    def __init__(self, world: 'World', name: str, incarnation: int) -> None:
        self.world = world
        self.name = ids.InstanceId(name)
        self.incarnation = incarnation
        self.lease = SettableLease()
        self.frozen = False
        self.task: asyncio.Task[None] | None = None
        self.controller = pool_controller.PoolController(
            POOL,
            control_dependencies.ControlDependencies(
                own=member.Member(
                    instance_id=self.name,
                    address='',
                    failure_domain=DOMAIN,
                    incarnation=incarnation,
                ),
                lease=self.lease,
                store=world.store,
                policy=world.policy,
                metrics=metrics.NoMetrics(),
                listed_instances=lambda: world.listed,
                engine_of=world.engine_of,
                model_needs=lambda: world.needs,
                take_demand=world.demand,
                is_replica_idle=world.is_replica_idle,
                has_stopped=world.has_stopped,
                publish=world.publish,
            ),
            SETTINGS,
            load_budget.LoadBudget(
                weight_store_settings.WeightStoreSettings(
                    loads_per_s=1000,
                    concurrent_loads=3,
                    adapters_in_transit=10,
                ),
                world.clock,
            ),
            clock=world.clock,
        )

    def round(self) -> None:
        """Start or resume a round, and run until it ends or waits."""
        if self.task is None or self.task.done():
            self.task = self.world.loop.create_task(self.controller.round())
        self.world.run_tasks()
        if self.task.done():
            self.task.result()


class World:
    """Simulate the engines, the store, two processes and an entry instance."""

    def __init__(self, checks: tuple[bool, ...] = (False, False)) -> None:
        self.loop = asyncio.new_event_loop()
        self.clock = clock.ManualClock()
        self.store = memory_key_value.MemoryKeyValue()
        self.policy = ScriptedPlacement()
        self.needs: Mapping[ids.ModelName, model_need.ModelNeed] = {
            ids.ModelName(name): model_need.ModelNeed(
                model=ids.ModelName(name),
                memory_mb=size,
            )
            for name, size in SIZES.items()
        }
        self.sizes = dict(SIZES)
        self.waiting: dict[str, int] = {}
        self.engines = {
            f's{number}': memory_engine.MemoryEngine(
                ids.ServerId(f's{number}'),
                MEMORY_MB,
                self.sizes,
                self.clock,
                checks_fencing=check,
            )
            for number, check in enumerate(checks)
        }
        for backend in self.engines.values():
            backend.max_delivery_s = DELIVERY_S
        self.listed: tuple[instance_list.Instance, ...] | None = tuple(
            instance_list.Instance(
                instance_id=name,
                kind=instance_list.Kind.engine,
                address='',
                failure_domain=DOMAIN,
                pool=POOL,
                checks_fencing=check,
            )
            for name, check in zip(self.engines, checks, strict=True)
        )
        self.published: plan.Plan | None = None
        self.seen_by_entry: plan.Plan | None = None
        self.work: list[tuple[str, str]] = []
        self.fence = 0
        self.processes = [Process(self, 'x', 1), Process(self, 'y', 1)]

    def close(self) -> None:
        for process in self.processes:
            if process.task is not None:
                process.task.cancel()
        self.run_tasks()
        self.loop.close()

    def wake(self) -> None:
        """Resume every frozen send."""
        for backend in self.engines.values():
            backend.frozen_orders_released.set()
        self.run_tasks()
        for backend in self.engines.values():
            backend.frozen_orders_released.clear()

    def run_tasks(self) -> None:
        async def run_steps() -> None:
            for _ in range(LOOP_STEPS):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run_steps())

    def lead(self, number: int) -> None:
        """Give the lease to a process without informing the other."""
        self.fence += 1
        self.processes[number].lease.fence = ids.Fence(self.fence)

    def rounds(self, number: int, times: int = 3, step_s: float = 0.3) -> None:
        for _ in range(times):
            self.clock.advance(step_s)
            self.processes[number].round()
            self.see()

    def restart(self, number: int) -> None:
        """Kill a process and start its next incarnation."""
        old = self.processes[number]
        if old.task is not None:
            old.task.cancel()
        self.run_tasks()
        self.processes[number] = Process(self, old.name, old.incarnation + 1)

    def move(self, kind: str, server: str, model: str) -> None:
        self.policy.moves.append(
            placement.Move(
                kind=placement.MoveKind(kind),
                server=ids.ServerId(server),
                model=ids.ModelName(model),
            ),
        )

    def see(self) -> None:
        """Deliver the latest plan to the entry instance."""
        self.seen_by_entry = self.published

    def state(self, server: str, model: str) -> str:
        assert self.published is not None
        for replica in self.published.replicas:
            if (replica.server, replica.model) == (server, model):
                return replica.state.value
        return ''

    def start_work(self, server: str, model: str) -> bool:
        """Send a request if the entry instance's plan routes it."""
        replicas = (
            () if self.seen_by_entry is None else self.seen_by_entry.replicas
        )
        is_routed = any(
            (replica.server, replica.model, replica.state)
            == (server, model, plan.ReplicaState.loaded)
            for replica in replicas
        )
        if not is_routed:
            return False
        if not self.engines[server].change_running(ids.ModelName(model), 1):
            return False
        self.work.append((server, model))
        return True

    def end_work(self) -> None:
        server, model = self.work.pop()
        self.engines[server].change_running(ids.ModelName(model), -1)

    def engine_of(self, listed: instance_list.Instance) -> engine.ModelEngine:
        return self.engines[listed.instance_id]

    def demand(
        self,
        needs: control_dependencies.NeedByModel,
    ) -> tuple[placement.ModelView, ...]:
        return tuple(
            placement.ModelView(
                model=model,
                memory_mb=need.memory_mb,
                arrivals=0,
                waiting=self.waiting.get(model, 0),
                running=0,
                service_s=1,
                first_token_s=1,
            )
            for model, need in needs.items()
        )

    async def is_replica_idle(
        self,
        server: ids.ServerId,
        model: ids.ModelName,
        version: int,
    ) -> bool:
        if self.seen_by_entry is None:
            return False
        if (server, model) in self.work:
            return False
        return self.seen_by_entry.version >= version

    async def has_stopped(
        self, superseded: superseded_controller.SupersededController
    ) -> bool:
        for process in self.processes:
            if process.name != superseded.controller:
                continue
            if process.incarnation > superseded.incarnation:
                return True
            if process.frozen:
                return False
            return process.controller.stop_sending_below(
                ids.Fence(superseded.fence + 1)
            )
        return True

    def publish(self, new_plan: plan.Plan) -> None:
        known = self.published
        if known is None or new_plan.version > known.version:
            self.published = new_plan


def check(world: World) -> None:
    """Check that no memory was exceeded and no running work interrupted."""
    for backend in world.engines.values():
        assert not backend.memory_excesses
        assert not backend.interrupted_models


def heal(world: World) -> None:
    """End all faults and check that the plan and the engines converge."""
    for backend in world.engines.values():
        backend.faults.clear()
        backend.report_lag_s = 0
        backend.is_down = False
        backend.frozen_orders_released.set()
    world.store.lose_answers = 0
    world.store.lose_requests = 0
    world.store.down = False
    world.policy.moves.clear()
    for process in world.processes:
        process.frozen = False
    world.run_tasks()
    for process in world.processes:
        process.lease.fence = None
    world.lead(0)
    while world.work:
        world.end_work()
    for _ in range(3):
        world.rounds(0, 10, 0.3)
        world.rounds(0, 1, SETTLED_S)
    assert world.published is not None
    planned = {
        (replica.server, replica.model) for replica in world.published.replicas
    }
    held = {
        (server, model)
        for server, holder in world.engines.items()
        for model in holder.models()
    }
    assert planned == held
    states = {replica.state.value for replica in world.published.replicas}
    assert states <= {'loaded'}
