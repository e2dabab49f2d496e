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

    listed: the platform's list as last read, None before the first read.
    needs: the memory needs of the pool's models; demand: the requests for
    these models.
    idle: whether every entry instance has received that plan version and has
    no request waiting for or running on that replica.
    has_stopped: whether an earlier controller can send no more orders.
    idle and has_stopped do not raise; they return False if the answer is
    unknown.
    """

    this: member.Member
    lease: leadership.Leadership
    store: keyvalue.KeyValue
    policy: placement.PlacementPolicy
    metrics: metrics.Metrics
    listed: Callable[[], tuple[instance_list.Instance, ...] | None]
    engine_of: Callable[[instance_list.Instance], engine.ModelEngine]
    needs: Callable[[], NeedByModel]
    demand: Callable[[NeedByModel], tuple[placement.ModelView, ...]]
    idle: Callable[[ids.ServerId, ids.ModelName, int], Awaitable[bool]]
    has_stopped: Callable[
        [superseded_controller.SupersededController], Awaitable[bool]
    ]
    publish: Callable[[plan.Plan], None]
