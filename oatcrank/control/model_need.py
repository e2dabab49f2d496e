"""Compute the memory that a replica of a model needs."""

from collections.abc import Callable

import msgspec

from oatcrank import ids
from oatcrank.store import weight_store

AdaptersOf = Callable[[ids.ModelName], tuple[ids.AdapterName, ...]]


class ModelNeed(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the memory of a model including its adapters, in megabytes."""

    model: ids.ModelName
    memory_mb: int
    adapters: tuple[ids.AdapterName, ...] = ()
    adapter_memory_mb: tuple[int, ...] = ()

    def added_mb(self, reserved: tuple[ids.AdapterName, ...]) -> int:
        """Return the memory of the adapters that are not yet reserved."""
        pairs = zip(self.adapters, self.adapter_memory_mb, strict=True)
        return sum(
            memory_mb for adapter, memory_mb in pairs if adapter not in reserved
        )


def needs_of(
    catalogue: weight_store.Catalogue,
    pool: ids.PoolName,
    adapters_of: AdaptersOf,
) -> dict[ids.ModelName, ModelNeed]:
    """Return the needs of a pool's models, without unlisted adapters."""
    memory_by_key = {
        (adapter.model, adapter.name): adapter.memory_mb
        for adapter in catalogue.adapters
    }
    need_by_model = {}
    for model in catalogue.models:
        if model.pool == pool:
            need_by_model[model.name] = _need(
                model,
                sorted(set(adapters_of(model.name))),
                memory_by_key,
            )
    return need_by_model


def _need(
    model: weight_store.ModelWeights,
    profile_adapters: list[ids.AdapterName],
    memory_by_key: dict[tuple[ids.ModelName, ids.AdapterName], int],
) -> ModelNeed:
    adapters = tuple(
        adapter
        for adapter in profile_adapters
        if (model.name, adapter) in memory_by_key
    )
    sizes = tuple(memory_by_key[model.name, adapter] for adapter in adapters)
    return ModelNeed(
        model=model.name,
        memory_mb=model.memory_mb + sum(sizes),
        adapters=adapters,
        adapter_memory_mb=sizes,
    )
