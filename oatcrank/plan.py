"""Describe which server of a pool holds which model."""

import enum

import msgspec

from oatcrank import ids


class ReplicaState(enum.Enum):
    """Say how far a replica's change has come."""

    loading = 'loading'
    loaded = 'loaded'
    draining = 'draining'
    unloading = 'unloading'


class Replica(msgspec.Struct, frozen=True, kw_only=True):
    """Reserve memory on a server for a model and its adapters."""

    server: ids.ServerId
    model: ids.ModelName
    state: ReplicaState
    memory_mb: int
    adapters: tuple[ids.AdapterName, ...] = ()


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a pool's replicas; version grows with every write."""

    pool: ids.PoolName
    fence: ids.Fence
    version: int
    controller: ids.InstanceId
    replicas: tuple[Replica, ...] = ()
