"""Apply the moves of a placement policy where they are safe."""

from collections.abc import Mapping

import msgspec

from oatcrank import ids
from oatcrank.control import model_need, plan, received_report, replica_table
from oatcrank.placing import placement

ACTIVE_STATES = frozenset((plan.ReplicaState.loading, plan.ReplicaState.loaded))


class MoveRules:
    """Apply moves to a table of replicas."""

    def __init__(
        self,
        table: replica_table.ReplicaTable,
        report_by_server: Mapping[ids.ServerId, received_report.ReceivedReport],
        need_by_model: Mapping[ids.ModelName, model_need.ModelNeed],
        *,
        fence: ids.Fence,
        version: int,
    ) -> None:
        """Allow loads only on the servers with a report."""
        self._table = table
        self._report_by_server = report_by_server
        self._need_by_model = need_by_model
        self._fence = fence
        self._version = version

    def free_mb(self, server: ids.ServerId) -> int:
        """Return a server's memory that no replica reserves."""
        received = self._report_by_server[server]
        return received.report.memory_mb - self._table.reserved_mb(server)

    def apply(self, move: placement.Move) -> bool:
        """Apply one move if it is safe; return whether it was applied."""
        if move.kind is placement.MoveKind.load:
            return self._load(move)
        return self._drain(move)

    def reserve_new_adapters(self) -> None:
        """Raise the reservations of models that gained adapters."""
        for replica in tuple(self._table):
            need = self._need_by_model.get(replica.model)
            if need is None or replica.server not in self._report_by_server:
                continue
            if replica.state in ACTIVE_STATES:
                self._raise_reservation(replica, need)

    def restore_draining(
        self, waiting_by_model: Mapping[ids.ModelName, int]
    ) -> None:
        """Set draining replicas back to loaded if no other can serve demand."""
        served_models = {
            replica.model
            for replica in self._table
            if replica.state in ACTIVE_STATES
            and replica.server in self._report_by_server
        }
        for replica in tuple(self._table):
            if replica.state is not plan.ReplicaState.draining:
                continue
            if replica.server not in self._report_by_server:
                continue
            if replica.model in served_models or replica.model not in (
                self._need_by_model
            ):
                continue
            if waiting_by_model.get(replica.model):
                self._table.put(
                    msgspec.structs.replace(
                        replica,
                        state=plan.ReplicaState.loaded,
                        since=self._version,
                    ),
                )

    def _load(self, move: placement.Move) -> bool:
        need = self._need_by_model.get(move.model)
        if need is None or move.server not in self._report_by_server:
            return False
        if move.model in self._table.replicas_on(move.server):
            return False
        if need.memory_mb > self.free_mb(move.server):
            return False
        self._table.put(
            plan.Replica(
                server=move.server,
                model=move.model,
                state=plan.ReplicaState.loading,
                memory_mb=need.memory_mb,
                adapters=need.adapters,
                since=self._version,
                load_fence=self._fence,
            ),
        )
        return True

    def _drain(self, move: placement.Move) -> bool:
        replica = self._table.replicas_on(move.server).get(move.model)
        if replica is None or replica.state is not plan.ReplicaState.loaded:
            return False
        self._table.put(
            msgspec.structs.replace(
                replica,
                state=plan.ReplicaState.draining,
                since=self._version,
            ),
        )
        return True

    def _raise_reservation(
        self,
        replica: plan.Replica,
        need: model_need.ModelNeed,
    ) -> None:
        added = tuple(
            adapter
            for adapter in need.adapters
            if adapter not in replica.adapters
        )
        extra_mb = need.added_mb(replica.adapters)
        if not added or extra_mb > self.free_mb(replica.server):
            return
        self._table.put(
            msgspec.structs.replace(
                replica,
                memory_mb=replica.memory_mb + extra_mb,
                adapters=(*replica.adapters, *added),
            ),
        )
