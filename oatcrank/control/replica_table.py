"""Index the replicas of a plan while it is changed."""

from collections.abc import Iterable, Iterator, Mapping

from oatcrank import ids
from oatcrank.control import plan

ReplicaKey = tuple[ids.ServerId, ids.ModelName]


class ReplicaTable:
    """Look up and change replicas; changed_by_key holds the changed ones."""

    def __init__(self, replicas: Iterable[plan.Replica]) -> None:
        """Start from a plan's replicas."""
        self._by_server: dict[
            ids.ServerId,
            dict[ids.ModelName, plan.Replica],
        ] = {}
        self.changed_by_key: dict[ReplicaKey, plan.Replica | None] = {}
        for replica in replicas:
            self._ensure_server(replica.server)[replica.model] = replica

    def __iter__(self) -> Iterator[plan.Replica]:
        """Iterate over all replicas, server by server."""
        for replica_by_model in self._by_server.values():
            yield from replica_by_model.values()

    def servers(self) -> tuple[ids.ServerId, ...]:
        """Return the servers with replicas."""
        return tuple(self._by_server)

    def replicas_on(
        self, server: ids.ServerId
    ) -> Mapping[ids.ModelName, plan.Replica]:
        """Return a server's replicas by model."""
        return self._by_server.get(server, {})

    def reserved_mb(self, server: ids.ServerId) -> int:
        """Return the memory reserved on a server."""
        return sum(
            replica.reserved_mb for replica in self.replicas_on(server).values()
        )

    def put(self, replica: plan.Replica) -> None:
        """Add or replace a replica."""
        self._ensure_server(replica.server)[replica.model] = replica
        self.changed_by_key[replica.server, replica.model] = replica

    def remove(self, replica: plan.Replica) -> None:
        """Remove a replica."""
        replica_by_model = self._by_server[replica.server]
        replica_by_model.pop(replica.model)
        if not replica_by_model:
            self._by_server.pop(replica.server)
        self.changed_by_key[replica.server, replica.model] = None

    def _ensure_server(
        self,
        server: ids.ServerId,
    ) -> dict[ids.ModelName, plan.Replica]:
        return self._by_server.setdefault(server, {})
