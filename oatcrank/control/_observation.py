"""Build the observations that a placement policy decides on."""

from collections.abc import Mapping

from oatcrank import ids
from oatcrank.control import plan, received_report, replica_table
from oatcrank.membership import instance_list
from oatcrank.placing import placement


def server_view(
    instance: instance_list.Instance,
    received: received_report.ReceivedReport,
    table: replica_table.ReplicaTable,
) -> placement.ServerView:
    """Return a server as reported, with the memory that the table reserves."""
    report = received.report
    server = report.server_id
    return placement.ServerView(
        server=server,
        failure_domain=instance.failure_domain,
        memory_mb=report.memory_mb,
        free_mb=max(0, report.memory_mb - table.reserved_mb(server)),
        slots=report.slots,
        loaded=_models_in_state(table, server, plan.ReplicaState.loaded),
        loading=_models_in_state(table, server, plan.ReplicaState.loading),
        unloading=(
            *_models_in_state(table, server, plan.ReplicaState.draining),
            *_models_in_state(table, server, plan.ReplicaState.unloading),
            *_models_in_state(table, server, plan.ReplicaState.unloaded),
        ),
        busy=tuple(
            held.model for held in report.held if held.running or held.queued
        ),
    )


def waiting_by_model(
    models: tuple[placement.ModelView, ...],
) -> Mapping[ids.ModelName, int]:
    """Return the number of waiting requests by model."""
    return {view.model: view.waiting for view in models}


def _models_in_state(
    table: replica_table.ReplicaTable,
    server: ids.ServerId,
    state: plan.ReplicaState,
) -> tuple[ids.ModelName, ...]:
    return tuple(
        replica.model
        for replica in table.replicas_on(server).values()
        if replica.state is state
    )
