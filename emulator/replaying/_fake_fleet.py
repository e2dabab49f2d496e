"""Simulated servers of all pools."""

import collections

from emulator.replaying import _fake_server, trace_header
from oatcrank import errors, ids
from oatcrank.control import plan
from oatcrank.placing import placement

States = plan.ReplicaState


class MoveRefused(errors.OatcrankError):
    """Raised when a move violates the constraints of placement policies."""


class FakeFleet:
    """Apply moves to servers and reject invalid ones."""

    def __init__(self, header: trace_header.TraceHeader) -> None:
        """Start with empty servers."""
        self.model_by_name = {model.name: model for model in header.models}
        self.servers_by_pool = {
            pool.name: [
                _fake_server.FakeServer(
                    ids.ServerId(f'{pool.name}-{number}'),
                    header.failure_domains[
                        number % len(header.failure_domains)
                    ],
                    memory_mb=pool.memory_mb,
                    slots=pool.slots,
                )
                for number in range(pool.servers)
            ]
            for pool in header.pools
        }
        self._server_by_id = {
            server.server_id: server
            for servers in self.servers_by_pool.values()
            for server in servers
        }
        self._holders_by_model: dict[
            ids.ModelName, list[_fake_server.FakeServer]
        ] = collections.defaultdict(list)

    @property
    def used_servers(self) -> int:
        """Return how many servers hold at least one model."""
        servers = self._server_by_id.values()
        return sum(bool(server.replica_by_model) for server in servers)

    def holders(self, model: ids.ModelName) -> list[_fake_server.FakeServer]:
        """Return the servers that hold a model in any state."""
        return self._holders_by_model[model]

    def expected_slots(self, model: ids.ModelName) -> float:
        """Return the slots that a model can expect to use.

        A model without replicas is expected to get half a server's slots.
        """
        slots = sum(
            server.slots / len(server.replica_by_model)
            for server in self.holders(model)
        )
        if slots:
            return slots
        pool = self.model_by_name[model].pool
        return self.servers_by_pool[pool][0].slots / 2

    def is_loaded(self, model: ids.ModelName) -> bool:
        """Return whether a replica of the model can take requests."""
        return any(
            server.replica_by_model[model].state is States.loaded
            for server in self.holders(model)
        )

    def choose_server(
        self, model: ids.ModelName
    ) -> _fake_server.FakeServer | None:
        """Return the busiest server with a free slot and a loaded replica."""
        free = [
            server
            for server in self.holders(model)
            if server.running < server.slots
            and server.replica_by_model[model].state is States.loaded
        ]
        return max(free, key=lambda server: server.running, default=None)

    def load(self, move: placement.Move) -> _fake_server.FakeReplica:
        """Reserve memory for a model; raises MoveRefused."""
        server = self._server_by_id[move.server]
        replica = _fake_server.FakeReplica(
            move.model,
            self.model_by_name[move.model].memory_mb,
        )
        if move.model in server.replica_by_model:
            raise MoveRefused(f'{move}: the server already holds the model')
        if replica.memory_mb > server.free_mb:
            raise MoveRefused(f'{move}: not enough free memory')
        server.replica_by_model[move.model] = replica
        self.holders(move.model).append(server)
        return replica

    def unload(self, move: placement.Move) -> None:
        """Start to unload an idle model; raises MoveRefused."""
        replica = self._replica(move, (States.loaded, States.draining))
        if replica.running:
            raise MoveRefused(f'{move}: the replica is running requests')
        replica.state = States.unloading

    def drain(self, move: placement.Move) -> None:
        """Exclude a replica from routing; raises MoveRefused."""
        replica = self._replica(move, (States.loaded,))
        replica.state = States.draining
        if not self.is_loaded(move.model):
            raise MoveRefused(f'{move}: it is the last loaded replica')

    def remove(self, move: placement.Move) -> None:
        """Release the memory of a model."""
        server = self._server_by_id[move.server]
        server.replica_by_model.pop(move.model)
        self.holders(move.model).remove(server)

    def _replica(
        self,
        move: placement.Move,
        states: tuple[plan.ReplicaState, ...],
    ) -> _fake_server.FakeReplica:
        server = self._server_by_id[move.server]
        replica = server.replica_by_model.get(move.model)
        if replica is None or replica.state not in states:
            raise MoveRefused(f'{move}: no replica in a matching state')
        return replica
