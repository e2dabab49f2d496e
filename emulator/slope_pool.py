"""Stand in for a pool that stays as it is."""

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
    """Hold the lease at all times."""

    def held_fence(self) -> ids.Fence | None:
        """Return the first fence."""
        return ids.Fence(1)


class NoMoves(placement.PlacementPolicy):
    """Decide nothing."""

    def decide(
        self,
        observation: placement.Observation,
    ) -> tuple[placement.Move, ...]:
        """Return no move."""
        return ()


class ContentEngine(engine.ModelEngine):
    """Report the same models each time."""

    def __init__(self, server: str, models: tuple[ids.ModelName, ...]) -> None:
        """Hold the models, ready and idle."""
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

    async def order(self, wanted: order.Order, *, timeout_s: float) -> None:
        """Take the order without effect."""

    async def report(self, *, timeout_s: float) -> engine.EngineReport:
        """Return the same report."""
        return self._report

    async def cancel(self, request_id: ids.RequestId) -> None:
        """Have nothing to cancel."""


class SlopePool:
    """List engines that hold two models each."""

    def __init__(self, servers: int) -> None:
        """Deal the models to the servers."""
        self.listed = tuple(
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
            one.instance_id: ContentEngine(
                one.instance_id,
                models[number::servers],
            )
            for number, one in enumerate(self.listed)
        }

    def engine_of(self, listed: instance_list.Instance) -> engine.ModelEngine:
        """Return a listed engine."""
        return self._engine_by_id[listed.instance_id]
