"""Define a pool's plan: which server loads which model."""

import enum

import msgspec

from oatcrank import ids
from oatcrank.control import superseded_controller


class ReplicaState(enum.Enum):
    """Define the states of a replica.

    unloaded: its memory is free again, but an unload order may still arrive.
    The model is not loaded on that server again until none can.
    """

    loading = 'loading'
    loaded = 'loaded'
    draining = 'draining'
    unloading = 'unloading'
    unloaded = 'unloaded'


class Replica(msgspec.Struct, frozen=True, kw_only=True):
    """Reserve memory on a server for a model and its adapters.

    since: version of the plan that set the state; load_fence and
    unload_fence: the fence of the first controller that could send such an
    order.
    """

    server: ids.ServerId
    model: ids.ModelName
    state: ReplicaState
    memory_mb: int
    adapters: tuple[ids.AdapterName, ...] = ()
    since: int = 0
    load_fence: ids.Fence = ids.Fence(0)
    unload_fence: ids.Fence = ids.Fence(0)

    @property
    def reserved_mb(self) -> int:
        """Return the memory that is not available to other models."""
        return 0 if self.state is ReplicaState.unloaded else self.memory_mb


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a pool's replicas; version grows with every write.

    superseded: earlier controllers that may still send orders.
    """

    pool: ids.PoolName
    fence: ids.Fence
    version: int
    controller: ids.InstanceId
    incarnation: int = 0
    superseded: tuple[superseded_controller.SupersededController, ...] = (
        msgspec.field(name='former', default=())
    )
    replicas: tuple[Replica, ...] = ()
