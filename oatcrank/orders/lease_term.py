"""Decide from times alone whether this instance may send orders.

All times are of a clock that keeps running while the machine is suspended.
"""

import msgspec

from oatcrank.orders import store_load_limit

# A holder stops this long after sending its last successful renewal.
VALIDITY_S = 1.2
# A successor waits this much longer than a lease can be valid.
SAFETY_MARGIN_S = 0.2
# A former holder that can't be asked has stopped after this time.
FORMER_STOPS_S = VALIDITY_S + SAFETY_MARGIN_S
# If the store has lost who held the lease: until then all instances know that
# it was restored, or know the new holder, and no longer confirm the former one.
UNKNOWN_FORMER_STOPS_S = 3.0


class LeaseTerm(msgspec.Struct, kw_only=True):
    """Times of one term of the order lease.

    Before own_orders_end_s the instance sends no orders, because its last ones
    from an earlier term are too recent; this keeps two instances from
    alternating.  former_store_loads are those that the former holder counts, or
    None if it can't be asked.
    """

    fence: int
    acquired_s: float
    renewed_s: float
    earliest_start_s: float
    own_orders_end_s: float
    former_store_loads: store_load_limit.CountedLoads | None = (
        store_load_limit.NO_LOADS
    )

    def may_order(self, now_s: float) -> bool:
        """Return whether an order may be sent now."""
        return self.orders_start_s() <= now_s < self.renewed_s + VALIDITY_S

    def orders_start_s(self) -> float:
        """Return when the first order may be sent."""
        return max(self.earliest_start_s, self.own_orders_end_s)

    def renew(self, sent_s: float) -> None:
        """Extend the term by a successful renewal that was sent at sent_s."""
        self.renewed_s = max(self.renewed_s, sent_s)

    @property
    def former_stopped_s(self) -> float:
        """Return when the former holder has stopped sending, at the latest."""
        return self.earliest_start_s

    def set_former_stopped(
        self,
        stopped_s: float,
        loads: store_load_limit.CountedLoads | None,
    ) -> None:
        """Record that the former holder has stopped sending orders."""
        self.earliest_start_s = min(self.earliest_start_s, stopped_s)
        self.former_store_loads = loads


def begin(
    *,
    fence: int,
    sent_s: float,
    now_s: float,
    own_orders_end_s: float,
    first: bool,
    wait_s: float = FORMER_STOPS_S,
) -> LeaseTerm:
    """Return the term of a lease acquired by a write that was sent at sent_s.

    A former holder may send orders for wait_s more, unless it is asked to stop.
    """
    if first:
        wait_s = 0
    return LeaseTerm(
        fence=fence,
        acquired_s=now_s,
        renewed_s=sent_s,
        earliest_start_s=now_s + wait_s,
        own_orders_end_s=own_orders_end_s,
        former_store_loads=store_load_limit.NO_LOADS if first else None,
    )
