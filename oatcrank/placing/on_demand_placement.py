"""Load models when requests wait, and unload the least recently used."""

from oatcrank import ids
from oatcrank.placing import move_plan, placement

Replica = tuple[ids.ServerId, ids.ModelName]
Use = tuple[float, ids.ServerId, ids.ModelName]
# Waiting requests per slot from which a loaded model gets another replica.
WAITING_PER_SLOT_LIMIT = 0.5


class OnDemandPlacement(placement.PlacementPolicy):
    """Load on demand and evict the least recently used models."""

    def __init__(self) -> None:
        """Start without a usage history."""
        self._last_use_by_replica: dict[Replica, float] = {}

    def decide(
        self, observation: placement.Observation
    ) -> tuple[placement.Move, ...]:
        """Load models with waiting requests, the longest queue first."""
        self._record_use(observation)
        plan = move_plan.MovePlan(observation)
        slots = (
            max(server.slots for server in observation.servers)
            * WAITING_PER_SLOT_LIMIT
        )
        waiting = [model for model in observation.models if model.waiting]
        waiting.sort(key=lambda model: -model.waiting)
        for model in waiting:
            holders = plan.servers_by_model[model.model]
            crowded = model.waiting >= slots and not _loading(plan, model)
            if not holders or crowded:
                self._load(plan, model.model)
        return tuple(plan.moves)

    def _record_use(self, observation: placement.Observation) -> None:
        for server in observation.servers:
            for model in (*server.busy, *server.loading):
                self._last_use_by_replica[server.server, model] = (
                    observation.now_s
                )

    def _load(self, plan: move_plan.MovePlan, model: ids.ModelName) -> None:
        candidates = [
            server
            for server in plan.server_by_id
            if plan.can_load(server, model)
        ]
        if candidates:
            best = min(
                candidates,
                key=lambda server: (
                    not plan.is_used(server),
                    plan.free_mb_by_server[server],
                ),
            )
            plan.load(best, model)
        elif plan.load_slots:
            self._free_memory(plan, model)

    def _free_memory(
        self, plan: move_plan.MovePlan, wanted: ids.ModelName
    ) -> None:
        if any(view.unloading for view in plan.server_by_id.values()):
            return
        options = [
            option
            for server in plan.server_by_id
            if (option := self._victims(plan, server, wanted))
        ]
        if options:
            for _, server, model in min(options, key=max):
                plan.unload(server, model)

    def _victims(
        self,
        plan: move_plan.MovePlan,
        server: ids.ServerId,
        wanted: ids.ModelName,
    ) -> list[Use]:
        view = plan.server_by_id[server]
        missing_mb = plan.model_by_name[wanted].memory_mb
        missing_mb -= plan.free_mb_by_server[server]
        victims: list[Use] = []
        for use in sorted(
            (self._last_use_by_replica.get((server, model), 0), server, model)
            for model in view.loaded
            if plan.can_unload(server, model)
        ):
            if missing_mb <= 0:
                break
            victims.append(use)
            missing_mb -= plan.model_by_name[use[2]].memory_mb
        return victims if missing_mb <= 0 and wanted not in view.loaded else []


def _loading(plan: move_plan.MovePlan, model: placement.ModelView) -> bool:
    return any(
        model.model in view.loading for view in plan.server_by_id.values()
    )
