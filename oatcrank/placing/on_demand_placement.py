"""Load models when requests wait, and unload the least recently used."""

from oatcrank import ids
from oatcrank.placing import placement, server_room

Place = tuple[ids.ServerId, ids.ModelName]
Use = tuple[float, ids.ServerId, ids.ModelName]
CROWDED_SHARE = 0.5


class OnDemandPlacement(placement.Placement):
    """Load on demand; make room by the least recently used model."""

    def __init__(self) -> None:
        """Start with nothing used."""
        self._last_use_by_place: dict[Place, float] = {}

    def decide(self, seen: placement.Observation) -> tuple[placement.Move, ...]:
        """Load the models that wait, the longest queue first."""
        self._note_use(seen)
        room = server_room.Room(seen)
        slots = max(server.slots for server in seen.servers) * CROWDED_SHARE
        waiting = [model for model in seen.models if model.waiting]
        waiting.sort(key=lambda model: -model.waiting)
        for model in waiting:
            homes = room.homes_by_model[model.model]
            crowded = model.waiting >= slots and not _loading(room, model)
            if not homes or crowded:
                self._load(room, model.model)
        return tuple(room.moves)

    def _note_use(self, seen: placement.Observation) -> None:
        for server in seen.servers:
            for model in (*server.busy, *server.loading):
                self._last_use_by_place[server.server, model] = seen.now_s

    def _load(self, room: server_room.Room, model: ids.ModelName) -> None:
        fitting = [
            server for server in room.server_by_id if room.fits(server, model)
        ]
        if fitting:
            best = min(
                fitting,
                key=lambda server: (
                    not room.is_used(server),
                    room.free_by_server[server],
                ),
            )
            room.load(best, model)
        elif room.load_slots:
            self._make_room(room, model)

    def _make_room(self, room: server_room.Room, wanted: ids.ModelName) -> None:
        if any(view.unloading for view in room.server_by_id.values()):
            return
        choices = [
            choice
            for server in room.server_by_id
            if (choice := self._victims(room, server, wanted))
        ]
        if choices:
            for _, server, model in min(choices, key=max):
                room.unload(server, model)

    def _victims(
        self,
        room: server_room.Room,
        server: ids.ServerId,
        wanted: ids.ModelName,
    ) -> list[Use]:
        view = room.server_by_id[server]
        lacking_mb = room.model_by_name[wanted].memory_mb
        lacking_mb -= room.free_by_server[server]
        victims: list[Use] = []
        for use in sorted(
            (self._last_use_by_place.get((server, model), 0), server, model)
            for model in view.loaded
            if room.can_unload(server, model)
        ):
            if lacking_mb <= 0:
                break
            victims.append(use)
            lacking_mb -= room.model_by_name[use[2]].memory_mb
        return victims if lacking_mb <= 0 and wanted not in view.loaded else []


def _loading(room: server_room.Room, model: placement.ModelView) -> bool:
    return any(
        model.model in view.loading for view in room.server_by_id.values()
    )
