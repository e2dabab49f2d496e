"""Configuration of a demo site."""

import itertools

import msgspec

from emulator import site_pool
from oatcrank import ids
from oatcrank.configuration import profile
from oatcrank.placing import placement_kind
from oatcrank.store import weight_store

MODEL_SIZES_MB = (27_000, 36_000, 41_000, 33_000, 22_000)
ADAPTER_MB = 100


class WeightStoreLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a site's weight store."""

    loads_per_s: float
    concurrent: int
    adapters_in_transit: int
    adapter_min_ms: float
    adapter_max_ms: float

    @property
    def model_load_s(self) -> float:
        """Return the load time at which both limits are reached together."""
        return self.concurrent / self.loads_per_s


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """Pools, models, profiles and policy of a site."""

    name: str
    title: str
    region: str
    failure_domains: tuple[ids.FailureDomain, ...]
    pools: tuple[site_pool.SitePool, ...]
    adapter_names: tuple[ids.AdapterName, ...]
    store: WeightStoreLimits
    profiles: tuple[profile.Profile, ...]
    accelerator_weight: float
    move_weight: float
    placement: placement_kind.PlacementKind = (
        placement_kind.PlacementKind.expected_gain
    )

    def catalogue(self) -> weight_store.Catalogue:
        """Return the models of all pools and their adapters.

        Sizes and adapters are assigned to the models in rotation.
        """
        models = tuple(
            weight_store.ModelWeights(
                name=model, pool=pool, memory_mb=memory_mb
            )
            for (pool, model), memory_mb in zip(
                self._pool_models(),
                itertools.cycle(MODEL_SIZES_MB),
                strict=False,
            )
        )
        adapters = tuple(
            weight_store.AdapterWeights(
                name=adapter, model=model.name, memory_mb=ADAPTER_MB
            )
            for adapter, model in zip(
                self.adapter_names, itertools.cycle(models), strict=False
            )
        )
        return weight_store.Catalogue(models=models, adapters=adapters)

    def _pool_models(self) -> list[tuple[ids.PoolName, ids.ModelName]]:
        return [
            (pool.name, model) for pool in self.pools for model in pool.models
        ]
