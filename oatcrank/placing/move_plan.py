"""Collect a round's moves and track the capacity that they leave."""

from oatcrank import ids
from oatcrank.placing import placement


class MovePlan:
    """The moves of one round and the server state that results from them."""

    def __init__(self, observation: placement.Observation) -> None:
        """Start from the observed state, without moves."""
        self.observation = observation
        self.moves: list[placement.Move] = []
        self.load_slots = observation.load_slots
        self.server_by_id = {
            server.server: server for server in observation.servers
        }
        self.model_by_name = {
            model.model: model for model in observation.models
        }
        self.free_mb_by_server = {
            server.server: server.free_mb for server in observation.servers
        }
        self.servers_by_model: dict[ids.ModelName, list[ids.ServerId]] = {
            model.model: [] for model in observation.models
        }
        self._used: set[ids.ServerId] = set()
        self._unloaded: set[tuple[ids.ServerId, ids.ModelName]] = set()
        for server in observation.servers:
            if server.free_mb < server.memory_mb:
                self._used.add(server.server)
            for model in (*server.loaded, *server.loading):
                self.servers_by_model[model].append(server.server)

    @property
    def used(self) -> int:
        """Return how many servers hold at least one model."""
        return len(self._used)

    def is_used(self, server: ids.ServerId) -> bool:
        """Return whether a server holds any model."""
        return server in self._used

    def can_load(self, server: ids.ServerId, model: ids.ModelName) -> bool:
        """Return whether a model can be loaded on a server now."""
        if self.load_slots < 1 or server not in self.server_by_id:
            return False
        needed_mb = self.model_by_name[model].memory_mb
        enough = self.free_mb_by_server[server] >= needed_mb
        return enough and not self.holds(server, model)

    def holds(self, server: ids.ServerId, model: ids.ModelName) -> bool:
        """Return whether a model occupies memory on a server in any state."""
        view = self.server_by_id[server]
        return server in self.servers_by_model[model] or any(
            model in held
            for held in (
                view.loaded,
                view.loading,
                view.unloading,
                view.draining,
            )
        )

    def free_soon_mb(self, server: ids.ServerId) -> int:
        """Return the free memory after the pending unloads and drains."""
        view = self.server_by_id[server]
        leaving = [
            self.model_by_name.get(model)
            for model in (*view.unloading, *view.draining)
        ]
        leaving_mb = sum(model.memory_mb for model in leaving if model)
        return self.free_mb_by_server[server] + leaving_mb

    def load(self, server: ids.ServerId, model: ids.ModelName) -> None:
        """Add a load; its memory must fit."""
        self.load_slots -= 1
        self.free_mb_by_server[server] -= self.model_by_name[model].memory_mb
        self.servers_by_model[model].append(server)
        self._used.add(server)
        self._add(placement.MoveKind.load, server, model)

    def can_unload(self, server: ids.ServerId, model: ids.ModelName) -> bool:
        """Return whether a model is idle on a server and not yet unloaded."""
        view = self.server_by_id[server]
        held = model in view.loaded or model in view.draining
        unloaded = (server, model) in self._unloaded
        return held and not unloaded and model not in view.busy

    def unload(self, server: ids.ServerId, model: ids.ModelName) -> None:
        """Add an unload; its memory becomes free only in a later round."""
        self._unloaded.add((server, model))
        if server in self.servers_by_model[model]:
            self.servers_by_model[model].remove(server)
        self._add(placement.MoveKind.unload, server, model)

    def drain(self, server: ids.ServerId, model: ids.ModelName) -> None:
        """Add a drain: the replica gets no new requests."""
        self.servers_by_model[model].remove(server)
        self._add(placement.MoveKind.drain, server, model)

    def _add(
        self,
        kind: placement.MoveKind,
        server: ids.ServerId,
        model: ids.ModelName,
    ) -> None:
        self.moves.append(
            placement.Move(kind=kind, server=server, model=model),
        )
