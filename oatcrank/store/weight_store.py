"""Describe what is assumed of the store that holds model weights."""

import abc

import msgspec

from oatcrank import ids


class ModelWeights(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one model's weights; memory is in megabytes."""

    name: ids.ModelName
    pool: ids.PoolName
    memory_mb: int
    version: str = '1'


class AdapterWeights(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one adapter's weights; memory is in megabytes."""

    name: ids.AdapterName
    model: ids.ModelName
    memory_mb: int


class Catalogue(msgspec.Struct, frozen=True, kw_only=True):
    """List the weights that can be loaded."""

    models: tuple[ModelWeights, ...] = ()
    adapters: tuple[AdapterWeights, ...] = ()


class WeightStore(abc.ABC):
    """Read what the weight store holds."""

    @abc.abstractmethod
    async def catalogue(self) -> Catalogue:
        """Return what can be loaded; raises errors.Unavailable."""
