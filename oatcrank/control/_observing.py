"""Build what a placement decides from."""

from collections.abc import Mapping

from oatcrank import ids
from oatcrank.control import plan, replica_table, seen_report
from oatcrank.membership import instance_list
from oatcrank.placing import placement


def server_view(
    listed: instance_list.Instance,
    seen: seen_report.SeenReport,
    table: replica_table.ReplicaTable,
) -> placement.ServerView:
    """Return one server as the table reserves it."""
    report = seen.report
    server = report.server_id
    return placement.ServerView(
        server=server,
        failure_domain=listed.failure_domain,
        memory_mb=report.memory_mb,
        free_mb=max(0, report.memory_mb - table.reserved_mb(server)),
        slots=report.slots,
        loaded=_in(table, server, plan.ReplicaState.loaded),
        loading=_in(table, server, plan.ReplicaState.loading),
        unloading=(
            *_in(table, server, plan.ReplicaState.draining),
            *_in(table, server, plan.ReplicaState.unloading),
            *_in(table, server, plan.ReplicaState.unloaded),
        ),
        busy=tuple(
            held.model for held in report.held if held.running or held.queued
        ),
    )


def waiting(
    models: tuple[placement.ModelView, ...],
) -> Mapping[ids.ModelName, int]:
    """Return how many requests wait for each model."""
    return {seen.model: seen.waiting for seen in models}


def _in(
    table: replica_table.ReplicaTable,
    server: ids.ServerId,
    state: plan.ReplicaState,
) -> tuple[ids.ModelName, ...]:
    return tuple(
        replica.model
        for replica in table.on(server).values()
        if replica.state is state
    )
