"""Configuration of the weight-store stand-in."""

import msgspec

from oatcrank.store import weight_store


class WeightStoreConfig(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Rates, limits and catalogue of the store."""

    loads_per_s: float
    concurrent: int
    model_load_s: float
    adapters_in_transit: int
    adapter_min_ms: float
    adapter_max_ms: float
    seed: int = 1
    catalogue: weight_store.Catalogue = weight_store.Catalogue()
