"""Define the interface of the store of model weights."""

import abc

import msgspec

from oatcrank import ids


class ModelWeights(msgspec.Struct, frozen=True, kw_only=True):
    """Weights of a model; memory is in megabytes."""

    name: ids.ModelName
    pool: ids.PoolName
    memory_mb: int
    version: str = '1'


class AdapterWeights(msgspec.Struct, frozen=True, kw_only=True):
    """Weights of an adapter; memory is in megabytes."""

    name: ids.AdapterName
    model: ids.ModelName
    memory_mb: int


class Catalogue(msgspec.Struct, frozen=True, kw_only=True):
    """Weights that can be loaded."""

    models: tuple[ModelWeights, ...] = ()
    adapters: tuple[AdapterWeights, ...] = ()


class WeightStore(abc.ABC):
    """Interface for reading the weight store."""

    @abc.abstractmethod
    async def catalogue(self) -> Catalogue:
        """Return the catalogue; raises errors.Unavailable."""
