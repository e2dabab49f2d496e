"""Look up the loaded replicas of each model in the newest plans."""

from collections.abc import Callable

from oatcrank import ids
from oatcrank.control import plan

Listener = Callable[[plan.Plan], None]
ReplicasByModel = dict[ids.ModelName, tuple[plan.Replica, ...]]


class PlanView:
    """Keep the newest plan of each pool, indexed by model."""

    def __init__(self) -> None:
        """Start without plans."""
        self.plan_by_pool: dict[ids.PoolName, plan.Plan] = {}
        self._pool_by_model: dict[ids.ModelName, ids.PoolName] = {}
        self._loaded_by_pool: dict[ids.PoolName, ReplicasByModel] = {}
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Call a listener with each newer plan."""
        self._listeners.append(listener)

    def update(self, newer: plan.Plan) -> bool:
        """Store a plan if it is newer; return whether it was stored."""
        known = self.plan_by_pool.get(newer.pool)
        if known is not None and known.version >= newer.version:
            return False
        self.plan_by_pool[newer.pool] = newer
        loaded = _loaded_by_model(newer)
        self._loaded_by_pool[newer.pool] = loaded
        self._pool_by_model.update(dict.fromkeys(loaded, newer.pool))
        for listener in self._listeners:
            listener(newer)
        return True

    def version(self, pool: ids.PoolName) -> int:
        """Return the version of a pool's plan, or 0 if none is known."""
        known = self.plan_by_pool.get(pool)
        return 0 if known is None else known.version

    def replicas_of(self, model: ids.ModelName) -> tuple[plan.Replica, ...]:
        """Return the replicas that take requests for a model."""
        pool = self._pool_by_model.get(model)
        if pool is None:
            return ()
        return self._loaded_by_pool[pool].get(model, ())


def _loaded_by_model(newer: plan.Plan) -> ReplicasByModel:
    loaded: dict[ids.ModelName, list[plan.Replica]] = {}
    for replica in newer.replicas:
        if replica.state is plan.ReplicaState.loaded:
            loaded.setdefault(replica.model, []).append(replica)
    return {model: tuple(replicas) for model, replicas in loaded.items()}
