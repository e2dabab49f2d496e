"""Derive the first plan of a new controller from the previous plan."""

import msgspec

from oatcrank import ids
from oatcrank.control import plan, plan_store, superseded_controller
from oatcrank.membership import member


def plan_after_takeover(
    previous: plan.Plan | None,
    own: member.Member,
    *,
    pool: ids.PoolName,
    fence: ids.Fence,
) -> plan.Plan:
    """Keep the replicas and list the controllers that may still send orders.

    Raises plan_store.ControllerSuperseded if the plan carries a later fence.
    """
    if previous is None:
        previous = plan.Plan(
            pool=pool,
            fence=ids.Fence(0),
            version=0,
            controller=own.instance_id,
            incarnation=own.incarnation,
        )
    if previous.fence > fence:
        raise plan_store.ControllerSuperseded(
            f'the plan was written under the later fence {previous.fence}'
        )
    last = superseded_controller.SupersededController(
        controller=previous.controller,
        incarnation=previous.incarnation,
        fence=previous.fence,
    )
    return msgspec.structs.replace(
        previous,
        fence=fence,
        version=previous.version + 1,
        controller=own.instance_id,
        incarnation=own.incarnation,
        superseded=_latest_by_process(own, (*previous.superseded, last)),
        replicas=tuple(
            _inherit(replica, previous.superseded, fence)
            for replica in previous.replicas
        ),
    )


def _inherit(
    replica: plan.Replica,
    superseded: tuple[superseded_controller.SupersededController, ...],
    fence: ids.Fence,
) -> plan.Replica:
    """Raise the fences of orders that no superseded controller can send.

    The last controller only sends the orders of its last plan.  A fence that
    an earlier controller may still send under is kept.
    """
    load_fence = replica.load_fence
    unload_fence = replica.unload_fence
    latest = max(
        (controller.fence for controller in superseded), default=ids.Fence(-1)
    )
    if replica.state is not plan.ReplicaState.loading and latest < load_fence:
        load_fence = fence
    if (
        replica.state is not plan.ReplicaState.unloading
        and latest < unload_fence
    ):
        unload_fence = fence
    return msgspec.structs.replace(
        replica,
        load_fence=load_fence,
        unload_fence=unload_fence,
    )


def _latest_by_process(
    own: member.Member,
    superseded: tuple[superseded_controller.SupersededController, ...],
) -> tuple[superseded_controller.SupersededController, ...]:
    """Return the latest fence of each other process.

    This process has no order in flight, and earlier processes with the same
    instance id ended before it started.
    """
    latest_by_process = {
        (previous.controller, previous.incarnation): previous
        for previous in sorted(superseded, key=_fence)
        if previous.controller != own.instance_id
    }
    return tuple(latest_by_process.values())


def _fence(superseded: superseded_controller.SupersededController) -> ids.Fence:
    return superseded.fence
