"""Stand-in for a pool whose state never changes."""

from oatcrank import ids
from oatcrank.control import leadership, model_need
from oatcrank.engines import engine, order
from oatcrank.membership import instance_list
from oatcrank.placing import placement

POOL = ids.PoolName('pool')
DOMAIN = ids.FailureDomain('domain')
MODELS_PER_SERVER = 2
MODEL_MB = 27_000
MEMORY_MB = 68_000


class HeldLease(leadership.Leadership):
    """Leadership whose lease is always held."""

    def held_fence(self) -> ids.Fence | None:
        """Return a constant fence."""
        return ids.Fence(1)


class NoMoves(placement.PlacementPolicy):
    """Placement policy that never moves a model."""

    def decide(
        self,
        observation: placement.Observation,
    ) -> tuple[placement.Move, ...]:
        """Return no move."""
        return ()


class ConstantEngine(engine.ModelEngine):
    """Engine whose report never changes."""

    def __init__(self, server: str, models: tuple[ids.ModelName, ...]) -> None:
        """Report the models as ready and idle."""
        self._report = engine.EngineReport(
            server_id=ids.ServerId(server),
            boot_id='1',
            memory_mb=MEMORY_MB,
            used_mb=MODEL_MB * len(models),
            fence=ids.Fence(1),
            slots=MODELS_PER_SERVER,
            running=0,
            queued=0,
            held=tuple(
                engine.HeldModel(model=model, memory_mb=MODEL_MB, ready=True)
                for model in models
            ),
        )

    async def order(self, new_order: order.Order, *, timeout_s: float) -> None:
        """Accept the order without effect."""

    async def report(self, *, timeout_s: float) -> engine.EngineReport:
        """Return the same report."""
        return self._report

    async def cancel(self, request_id: ids.RequestId) -> None:
        """Do nothing: the engine runs no requests."""


class SlopePool:
    """Pool of engines that hold two models each."""

    def __init__(self, servers: int) -> None:
        """Distribute the models over the servers."""
        self.instances = tuple(
            instance_list.Instance(
                instance_id=f'server-{number}',
                kind=instance_list.Kind.engine,
                address='',
                failure_domain=DOMAIN,
                pool=POOL,
            )
            for number in range(servers)
        )
        models = tuple(
            ids.ModelName(f'model-{number}')
            for number in range(servers * MODELS_PER_SERVER)
        )
        self.need_by_model = {
            model: model_need.ModelNeed(model=model, memory_mb=MODEL_MB)
            for model in models
        }
        self._engine_by_id = {
            instance.instance_id: ConstantEngine(
                instance.instance_id,
                models[number::servers],
            )
            for number, instance in enumerate(self.instances)
        }

    def engine_of(self, instance: instance_list.Instance) -> engine.ModelEngine:
        """Return the engine of a listed instance."""
        return self._engine_by_id[instance.instance_id]
