"""Load models when requests wait, and unload the least recently used."""

from oatcrank import ids
from oatcrank.placing import move_plan, placement

Place = tuple[ids.ServerId, ids.ModelName]
Use = tuple[float, ids.ServerId, ids.ModelName]
CROWDED_SHARE = 0.5


class OnDemandPlacement(placement.Placement):
    """Load on demand; make room by the least recently used model."""

    def __init__(self) -> None:
        """Start with nothing used."""
        self._last_use_by_place: dict[Place, float] = {}

    def decide(
        self, observation: placement.Observation
    ) -> tuple[placement.Move, ...]:
        """Load the models that wait, the longest queue first."""
        self._note_use(observation)
        plan = move_plan.MovePlan(observation)
        slots = (
            max(server.slots for server in observation.servers) * CROWDED_SHARE
        )
        waiting = [model for model in observation.models if model.waiting]
        waiting.sort(key=lambda model: -model.waiting)
        for model in waiting:
            holders = plan.servers_by_model[model.model]
            crowded = model.waiting >= slots and not _loading(plan, model)
            if not holders or crowded:
                self._load(plan, model.model)
        return tuple(plan.moves)

    def _note_use(self, observation: placement.Observation) -> None:
        for server in observation.servers:
            for model in (*server.busy, *server.loading):
                self._last_use_by_place[server.server, model] = (
                    observation.now_s
                )

    def _load(self, plan: move_plan.MovePlan, model: ids.ModelName) -> None:
        fitting = [
            server
            for server in plan.server_by_id
            if plan.can_load(server, model)
        ]
        if fitting:
            best = min(
                fitting,
                key=lambda server: (
                    not plan.is_used(server),
                    plan.free_mb_by_server[server],
                ),
            )
            plan.load(best, model)
        elif plan.load_slots:
            self._make_room(plan, model)

    def _make_room(
        self, plan: move_plan.MovePlan, wanted: ids.ModelName
    ) -> None:
        if any(view.unloading for view in plan.server_by_id.values()):
            return
        choices = [
            choice
            for server in plan.server_by_id
            if (choice := self._victims(plan, server, wanted))
        ]
        if choices:
            for _, server, model in min(choices, key=max):
                plan.unload(server, model)

    def _victims(
        self,
        plan: move_plan.MovePlan,
        server: ids.ServerId,
        wanted: ids.ModelName,
    ) -> list[Use]:
        view = plan.server_by_id[server]
        lacking_mb = plan.model_by_name[wanted].memory_mb
        lacking_mb -= plan.free_mb_by_server[server]
        victims: list[Use] = []
        for use in sorted(
            (self._last_use_by_place.get((server, model), 0), server, model)
            for model in view.loaded
            if plan.can_unload(server, model)
        ):
            if lacking_mb <= 0:
                break
            victims.append(use)
            lacking_mb -= plan.model_by_name[use[2]].memory_mb
        return victims if lacking_mb <= 0 and wanted not in view.loaded else []


def _loading(plan: move_plan.MovePlan, model: placement.ModelView) -> bool:
    return any(
        model.model in view.loading for view in plan.server_by_id.values()
    )
