"""Define the dependencies of one pool's controller."""

import dataclasses
from collections.abc import Awaitable, Callable, Mapping

from oatcrank import ids, metrics
from oatcrank.control import leadership, model_need, plan, superseded_controller
from oatcrank.engines import engine
from oatcrank.membership import instance_list, member
from oatcrank.placing import placement
from oatcrank.store import keyvalue

NeedByModel = Mapping[ids.ModelName, model_need.ModelNeed]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlDependencies:
    """Hold the dependencies of one pool's controller.

    listed_instances: the platform's list as last read, None before the first
    read.
    model_needs: the memory needs of the pool's models; take_demand: the
    requests for these models since the last call.
    is_replica_idle: whether every entry instance has received that plan
    version and has no request waiting for or running on that replica.
    has_stopped: whether an earlier controller can send no more orders.
    These two do not raise; they return False if the answer is unknown.
    """

    own: member.Member
    lease: leadership.Leadership
    store: keyvalue.KeyValue
    policy: placement.PlacementPolicy
    metrics: metrics.Metrics
    listed_instances: Callable[[], tuple[instance_list.Instance, ...] | None]
    engine_of: Callable[[instance_list.Instance], engine.ModelEngine]
    model_needs: Callable[[], NeedByModel]
    take_demand: Callable[[NeedByModel], tuple[placement.ModelView, ...]]
    is_replica_idle: Callable[
        [ids.ServerId, ids.ModelName, int], Awaitable[bool]
    ]
    has_stopped: Callable[
        [superseded_controller.SupersededController], Awaitable[bool]
    ]
    publish: Callable[[plan.Plan], None]
