"""Move replicas on by what their servers report."""

from collections.abc import Collection, Mapping

import msgspec

from oatcrank import ids
from oatcrank.control import (
    deposed,
    model_need,
    order_times,
    plan,
    replica_table,
    seen_report,
)
from oatcrank.engines import engine

LIVING = frozenset((plan.ReplicaState.loaded, plan.ReplicaState.draining))


class ReportRules:
    """Change a table of replicas in the name of one coming plan version."""

    def __init__(
        self,
        table: replica_table.ReplicaTable,
        times: order_times.OrderTimes,
        earlier: Collection[deposed.Deposed],
        *,
        fence: ids.Fence,
        version: int,
    ) -> None:
        """Write changes as of the version, under the fence."""
        self._table = table
        self._times = times
        self._earlier = earlier
        self._fence = fence
        self._version = version

    def to(self, replica: plan.Replica, state: plan.ReplicaState) -> None:
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
        seen: seen_report.SeenReport,
        need_by_model: Mapping[ids.ModelName, model_need.ModelNeed],
    ) -> None:
        """Take in one server's report."""
        server = seen.report.server_id
        for replica in tuple(self._table.on(server).values()):
            self._advance(replica, seen)
        for held in seen.report.held:
            if held.model not in self._table.on(server):
                self._adopt(seen, held, need_by_model.get(held.model))

    def retire(
        self,
        seen: seen_report.SeenReport,
        idle: Collection[replica_table.ReplicaKey],
        wanted: Collection[ids.ModelName],
    ) -> None:
        """Begin the unloads of idle draining and of unwanted replicas.

        idle must have been found out before the report was asked for.
        """
        for replica in tuple(self._table.on(seen.report.server_id).values()):
            if replica.state is plan.ReplicaState.draining:
                is_idle = (replica.server, replica.model) in idle
                if is_idle and _is_quiet(seen.held(replica.model)):
                    self.to(replica, plan.ReplicaState.unloading)
            elif replica.model not in wanted:
                self._reject(replica)

    def leave(self, server: ids.ServerId) -> None:
        """Route nothing more to a leaving server."""
        for replica in tuple(self._table.on(server).values()):
            if replica.state is plan.ReplicaState.loaded:
                self.to(replica, plan.ReplicaState.draining)

    def drop(self, server: ids.ServerId, now: float) -> None:
        """Forget a server that is gone, once no order can reach it."""
        for replica in tuple(self._table.on(server).values()):
            if self._is_dead(replica, now):
                self._table.remove(replica)
                self._times.forget(replica)
            elif replica.state is plan.ReplicaState.loaded:
                self.to(replica, plan.ReplicaState.draining)

    def _reject(self, replica: plan.Replica) -> None:
        if replica.state is plan.ReplicaState.loaded:
            self.to(replica, plan.ReplicaState.draining)
        elif replica.state is plan.ReplicaState.loading:
            self.to(replica, plan.ReplicaState.unloading)

    def _is_dead(self, replica: plan.Replica, now: float) -> bool:
        return self._times.loads_settled(
            replica,
            self._earlier,
            now,
        ) and self._times.unloads_settled(replica, self._earlier, now)

    def _advance(
        self,
        replica: plan.Replica,
        seen: seen_report.SeenReport,
    ) -> None:
        held = seen.held(replica.model)
        state = replica.state
        if state is plan.ReplicaState.loading:
            if held is not None and held.ready:
                self._times.changed(replica)
                self.to(replica, plan.ReplicaState.loaded)
        elif state in LIVING and held is None:
            self._lose(replica, seen)
        elif state is plan.ReplicaState.unloading and held is None:
            if self._times.loads_settled(replica, self._earlier, seen.asked):
                self._times.changed(replica)
                self.to(replica, plan.ReplicaState.unloaded)
        elif state is plan.ReplicaState.unloaded:
            if self._times.unloads_settled(replica, self._earlier, seen.asked):
                self._table.remove(replica)
                self._times.forget(replica)

    def _lose(
        self,
        replica: plan.Replica,
        seen: seen_report.SeenReport,
    ) -> None:
        if not self._times.lost(replica, seen.asked):
            return
        if replica.state is plan.ReplicaState.loaded:
            self.to(replica, plan.ReplicaState.loading)
        else:
            self.to(replica, plan.ReplicaState.unloading)

    def _adopt(
        self,
        seen: seen_report.SeenReport,
        held: engine.Held,
        need: model_need.ModelNeed | None,
    ) -> None:
        server = seen.report.server_id
        found = plan.Replica(
            server=server,
            model=held.model,
            state=plan.ReplicaState.draining,
            memory_mb=held.memory_mb,
            adapters=held.adapters,
            since=self._version,
        )
        free_mb = seen.report.memory_mb - self._table.reserved_mb(server)
        if need is not None and max(need.memory_mb, held.memory_mb) <= free_mb:
            found = msgspec.structs.replace(
                found,
                state=plan.ReplicaState.loading,
                memory_mb=max(need.memory_mb, held.memory_mb),
                adapters=need.adapters,
            )
        self._table.put(found)


def _is_quiet(held: engine.Held | None) -> bool:
    return held is not None and not held.running and not held.queued
