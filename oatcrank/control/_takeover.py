"""Derive the plan that a new controller starts from."""

import msgspec

from oatcrank import ids
from oatcrank.control import deposed, plan, plan_store
from oatcrank.membership import member


def takeover(
    previous: plan.Plan | None,
    this: member.Member,
    *,
    pool: ids.PoolName,
    fence: ids.Fence,
) -> plan.Plan:
    """Inherit replicas and list who may still send orders.

    Raises plan_store.Deposition if a later controller has been at work.
    """
    if previous is None:
        previous = plan.Plan(
            pool=pool,
            fence=ids.Fence(0),
            version=0,
            controller=this.instance_id,
            incarnation=this.incarnation,
        )
    if previous.fence > fence:
        raise plan_store.Deposition(f'fence {previous.fence} has the plan')
    last = deposed.Deposed(
        controller=previous.controller,
        incarnation=previous.incarnation,
        fence=previous.fence,
    )
    return msgspec.structs.replace(
        previous,
        fence=fence,
        version=previous.version + 1,
        controller=this.instance_id,
        incarnation=this.incarnation,
        former=_without(this, (*previous.former, last)),
        replicas=tuple(
            _inherited(replica, previous.former, fence)
            for replica in previous.replicas
        ),
    )


def _inherited(
    replica: plan.Replica,
    earlier: tuple[deposed.Deposed, ...],
    fence: ids.Fence,
) -> plan.Replica:
    """Raise the fences of the orders that no former controller can send.

    The last controller sends only what its last plan calls for; what those
    before it may send stays as it was.
    """
    load_fence = replica.load_fence
    unload_fence = replica.unload_fence
    latest = max((one.fence for one in earlier), default=ids.Fence(-1))
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


def _without(
    this: member.Member,
    former: tuple[deposed.Deposed, ...],
) -> tuple[deposed.Deposed, ...]:
    """Keep the latest fence of each other process.

    This process has no send under way, and its predecessors under the same
    instance id have ended before it started.
    """
    latest_by_process = {
        (one.controller, one.incarnation): one
        for one in sorted(former, key=_fence)
        if one.controller != this.instance_id
    }
    return tuple(latest_by_process.values())


def _fence(one: deposed.Deposed) -> ids.Fence:
    return one.fence
