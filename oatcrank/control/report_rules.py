"""Update replicas from the reports of their servers."""

from collections.abc import Collection, Mapping

import msgspec

from oatcrank import ids
from oatcrank.control import (
    model_need,
    order_times,
    plan,
    received_report,
    replica_table,
    superseded_controller,
)
from oatcrank.engines import engine

LOADED_STATES = frozenset(
    (plan.ReplicaState.loaded, plan.ReplicaState.draining)
)


class ReportRules:
    """Update a table of replicas for the next plan version."""

    def __init__(
        self,
        table: replica_table.ReplicaTable,
        times: order_times.OrderTimes,
        superseded: Collection[superseded_controller.SupersededController],
        *,
        fence: ids.Fence,
        version: int,
    ) -> None:
        """Set the version and fence that changes are written with."""
        self._table = table
        self._times = times
        self._superseded = superseded
        self._fence = fence
        self._version = version

    def set_state(
        self, replica: plan.Replica, state: plan.ReplicaState
    ) -> None:
        """Change a replica's state."""
        unload_fence = replica.unload_fence
        if state is plan.ReplicaState.unloading:
            unload_fence = self._fence
        self._table.put(
            msgspec.structs.replace(
                replica,
                state=state,
                since=self._version,
                unload_fence=unload_fence,
            ),
        )

    def apply(
        self,
        received: received_report.ReceivedReport,
        need_by_model: Mapping[ids.ModelName, model_need.ModelNeed],
    ) -> None:
        """Apply one server's report."""
        server = received.report.server_id
        for replica in tuple(self._table.replicas_on(server).values()):
            self._advance(replica, received)
        for held in received.report.held:
            if held.model not in self._table.replicas_on(server):
                self._add_unplanned(
                    received, held, need_by_model.get(held.model)
                )

    def retire(
        self,
        received: received_report.ReceivedReport,
        idle_replicas: Collection[replica_table.ReplicaKey],
        covered_models: Collection[ids.ModelName],
    ) -> None:
        """Start to unload idle draining replicas, and retire uncovered models.

        Models that no profile covers are drained, or unloaded if still loading.
        idle_replicas must have been determined before the report was requested.
        """
        for replica in tuple(
            self._table.replicas_on(received.report.server_id).values()
        ):
            if replica.state is plan.ReplicaState.draining:
                is_idle = (replica.server, replica.model) in idle_replicas
                if is_idle and _has_no_requests(
                    received.held_model(replica.model)
                ):
                    self.set_state(replica, plan.ReplicaState.unloading)
            elif replica.model not in covered_models:
                self._retire_uncovered(replica)

    def drain_server(self, server: ids.ServerId) -> None:
        """Drain the loaded replicas of a leaving server."""
        for replica in tuple(self._table.replicas_on(server).values()):
            if replica.state is plan.ReplicaState.loaded:
                self.set_state(replica, plan.ReplicaState.draining)

    def drop_server(self, server: ids.ServerId, now: float) -> None:
        """Remove an unlisted server's replicas once no order can reach it."""
        for replica in tuple(self._table.replicas_on(server).values()):
            if self._is_settled(replica, now):
                self._table.remove(replica)
                self._times.forget(replica)
            elif replica.state is plan.ReplicaState.loaded:
                self.set_state(replica, plan.ReplicaState.draining)

    def _retire_uncovered(self, replica: plan.Replica) -> None:
        if replica.state is plan.ReplicaState.loaded:
            self.set_state(replica, plan.ReplicaState.draining)
        elif replica.state is plan.ReplicaState.loading:
            self.set_state(replica, plan.ReplicaState.unloading)

    def _is_settled(self, replica: plan.Replica, now: float) -> bool:
        return self._times.loads_settled(
            replica,
            self._superseded,
            now,
        ) and self._times.unloads_settled(replica, self._superseded, now)

    def _advance(
        self,
        replica: plan.Replica,
        received: received_report.ReceivedReport,
    ) -> None:
        held = received.held_model(replica.model)
        state = replica.state
        if state is plan.ReplicaState.loading:
            if held is not None and held.ready:
                self._times.record_completion(replica)
                self.set_state(replica, plan.ReplicaState.loaded)
        elif state in LOADED_STATES and held is None:
            self._replan_lost(replica, received)
        elif state is plan.ReplicaState.unloading and held is None:
            if self._times.loads_settled(
                replica, self._superseded, received.requested_at
            ):
                self._times.record_completion(replica)
                self.set_state(replica, plan.ReplicaState.unloaded)
        elif state is plan.ReplicaState.unloaded:
            if self._times.unloads_settled(
                replica, self._superseded, received.requested_at
            ):
                self._table.remove(replica)
                self._times.forget(replica)

    def _replan_lost(
        self,
        replica: plan.Replica,
        received: received_report.ReceivedReport,
    ) -> None:
        if not self._times.is_loss_confirmed(replica, received.requested_at):
            return
        if replica.state is plan.ReplicaState.loaded:
            self.set_state(replica, plan.ReplicaState.loading)
        else:
            self.set_state(replica, plan.ReplicaState.unloading)

    def _add_unplanned(
        self,
        received: received_report.ReceivedReport,
        held: engine.HeldModel,
        need: model_need.ModelNeed | None,
    ) -> None:
        server = received.report.server_id
        replica = plan.Replica(
            server=server,
            model=held.model,
            state=plan.ReplicaState.draining,
            memory_mb=held.memory_mb,
            adapters=held.adapters,
            since=self._version,
        )
        free_mb = received.report.memory_mb - self._table.reserved_mb(server)
        if need is not None and max(need.memory_mb, held.memory_mb) <= free_mb:
            replica = msgspec.structs.replace(
                replica,
                state=plan.ReplicaState.loading,
                memory_mb=max(need.memory_mb, held.memory_mb),
                adapters=need.adapters,
            )
        self._table.put(replica)


def _has_no_requests(held: engine.HeldModel | None) -> bool:
    return held is not None and not held.running and not held.queued
