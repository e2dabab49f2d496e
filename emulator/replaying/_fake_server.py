"""Memory and slots of a simulated backend server."""

from oatcrank import ids
from oatcrank.control import plan
from oatcrank.placing import placement


class FakeReplica:
    """A model on a server."""

    def __init__(self, model: ids.ModelName, memory_mb: int) -> None:
        """Start in the loading state."""
        self.model = model
        self.memory_mb = memory_mb
        self.state = plan.ReplicaState.loading
        self.running = 0
        self.adapters: set[ids.AdapterName] = set()


class FakeServer:
    """Hold replicas in bounded memory and run requests in slots."""

    def __init__(
        self,
        server_id: ids.ServerId,
        failure_domain: ids.FailureDomain,
        *,
        memory_mb: int,
        slots: int,
    ) -> None:
        """Start without replicas."""
        self.server_id = server_id
        self.failure_domain = failure_domain
        self.memory_mb = memory_mb
        self.slots = slots
        self.running = 0
        self.replica_by_model: dict[ids.ModelName, FakeReplica] = {}

    @property
    def free_mb(self) -> int:
        """Return the memory that no replica reserves."""
        replicas = self.replica_by_model.values()
        used_mb = sum(replica.memory_mb for replica in replicas)
        return self.memory_mb - used_mb

    def view(
        self,
        waiting_by_model: dict[ids.ModelName, int],
    ) -> placement.ServerView:
        """Return the server state that a placement policy observes."""
        replicas = self.replica_by_model.values()
        return placement.ServerView(
            server=self.server_id,
            failure_domain=self.failure_domain,
            memory_mb=self.memory_mb,
            free_mb=self.free_mb,
            slots=self.slots,
            loaded=self._in_state(plan.ReplicaState.loaded),
            loading=self._in_state(plan.ReplicaState.loading),
            unloading=self._in_state(plan.ReplicaState.unloading),
            draining=self._in_state(plan.ReplicaState.draining),
            busy=tuple(
                replica.model
                for replica in replicas
                if replica.running
                or (
                    waiting_by_model[replica.model]
                    and replica.state is plan.ReplicaState.loaded
                )
            ),
        )

    def _in_state(
        self,
        state: plan.ReplicaState,
    ) -> tuple[ids.ModelName, ...]:
        return tuple(
            replica.model
            for replica in self.replica_by_model.values()
            if replica.state is state
        )
