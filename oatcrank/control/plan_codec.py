"""Encode plans compactly: replicas refer to names by index."""

from collections.abc import Iterable
from typing import TypeVar

import msgspec

from oatcrank import decoding, ids
from oatcrank.control import plan, superseded_controller

Name = TypeVar('Name')


class _Row(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    server: int
    model: int
    state: plan.ReplicaState
    memory_mb: int
    since: int
    load_fence: ids.Fence
    unload_fence: ids.Fence
    adapters: int


class _Document(msgspec.Struct, frozen=True, kw_only=True):
    pool: ids.PoolName
    fence: ids.Fence
    version: int
    controller: ids.InstanceId
    incarnation: int
    superseded: tuple[superseded_controller.SupersededController, ...] = (
        msgspec.field(name='former')
    )
    servers: tuple[ids.ServerId, ...]
    models: tuple[ids.ModelName, ...]
    adapters: tuple[tuple[ids.AdapterName, ...], ...]
    rows: tuple[_Row, ...]


def encode(current: plan.Plan) -> str:
    """Return the plan as text."""
    servers = _index_by_name(replica.server for replica in current.replicas)
    models = _index_by_name(replica.model for replica in current.replicas)
    adapters = _index_by_name(replica.adapters for replica in current.replicas)
    document = _Document(
        pool=current.pool,
        fence=current.fence,
        version=current.version,
        controller=current.controller,
        incarnation=current.incarnation,
        superseded=current.superseded,
        servers=tuple(servers),
        models=tuple(models),
        adapters=tuple(adapters),
        rows=tuple(
            _Row(
                servers[replica.server],
                models[replica.model],
                replica.state,
                replica.memory_mb,
                replica.since,
                replica.load_fence,
                replica.unload_fence,
                adapters[replica.adapters],
            )
            for replica in current.replicas
        ),
    )
    return msgspec.json.encode(document).decode()


def decode(text: str) -> plan.Plan:
    """Return the plan in the text; raises msgspec.MsgspecError."""
    document = decoding.from_json(text, expected=_Document)
    return plan.Plan(
        pool=document.pool,
        fence=document.fence,
        version=document.version,
        controller=document.controller,
        incarnation=document.incarnation,
        superseded=document.superseded,
        replicas=tuple(_replica(document, row) for row in document.rows),
    )


def _index_by_name(names: Iterable[Name]) -> dict[Name, int]:
    return {name: index for index, name in enumerate(dict.fromkeys(names))}


def _replica(document: _Document, row: _Row) -> plan.Replica:
    return plan.Replica(
        server=document.servers[row.server],
        model=document.models[row.model],
        state=row.state,
        memory_mb=row.memory_mb,
        adapters=document.adapters[row.adapters],
        since=row.since,
        load_fence=row.load_fence,
        unload_fence=row.unload_fence,
    )
