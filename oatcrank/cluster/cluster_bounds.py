"""Define the limits and durations that all instances share."""

import msgspec

from oatcrank.cluster import quota_owner
from oatcrank.orders import store_load_limit


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits and durations that all instances of a cluster share."""

    retry_ratio: float
    retry_allowance: float
    retry_window_s: float
    order_lease_duration_s: float
    load_ceiling: store_load_limit.Ceiling
    stop_timeout_s: float
    quota_tolerance: quota_owner.QuotaTolerance
