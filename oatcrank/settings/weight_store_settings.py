"""Define the limits of the weight store."""

from oatcrank.settings import section


class WeightStoreSettings(section.Section, frozen=True, kw_only=True):
    """Limits for the requests to the weight store."""

    loads_per_s: float
    concurrent_loads: int
    adapters_in_transit: int
