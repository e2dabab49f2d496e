"""Describe which server of a pool holds which model."""

import enum

import msgspec

from oatcrank import ids
from oatcrank.control import deposed


class ReplicaState(enum.Enum):
    """Say how far a replica's change has come.

    unloaded: its memory is free again, but an unload order may still arrive,
    so the model is not loaded on that server until none can.
    """

    loading = 'loading'
    loaded = 'loaded'
    draining = 'draining'
    unloading = 'unloading'
    unloaded = 'unloaded'


class Replica(msgspec.Struct, frozen=True, kw_only=True):
    """Reserve memory on a server for a model and its adapters.

    since: version of the plan that brought the state; load_fence and
    unload_fence: the first controller that could send such an order.
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
        """Return the memory that no other model may take."""
        return 0 if self.state is ReplicaState.unloaded else self.memory_mb


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a pool's replicas; version grows with every write.

    former: earlier controllers that may not know yet that they are.
    """

    pool: ids.PoolName
    fence: ids.Fence
    version: int
    controller: ids.InstanceId
    incarnation: int = 0
    former: tuple[deposed.Deposed, ...] = ()
    replicas: tuple[Replica, ...] = ()
