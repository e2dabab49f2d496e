"""Tell from times alone whether this instance may give orders.

All times are of a clock that runs on while a machine is suspended.
"""

import msgspec

# A holder stops this long after it sent the last renewal that succeeded.
VALIDITY_S = 1.2
SAFETY_MARGIN_S = 0.2


class LeaseTerm(msgspec.Struct, kw_only=True):
    """Hold the times of one turn at giving orders.

    own_orders_end_s is when orders of an earlier turn of this instance are so
    long past that it doesn't take turns with another.  former_loads is how
    many loads the former holder has begun lately, None if it can't be asked.
    """

    fence: int
    acquired_s: float
    renewed_s: float
    earliest_start_s: float
    own_orders_end_s: float
    former_store_loads: int | None = 0

    def may_order(self, now_s: float) -> bool:
        """Tell whether an order may be sent now."""
        return self.orders_start_s() <= now_s < self.renewed_s + VALIDITY_S

    def orders_start_s(self) -> float:
        """Return when orders may begin."""
        return max(self.earliest_start_s, self.own_orders_end_s)

    def renew(self, sent_s: float) -> None:
        """Take a renewal that succeeded, by when it was sent."""
        self.renewed_s = max(self.renewed_s, sent_s)

    def set_former_stopped(self, stopped_s: float, loads: int | None) -> None:
        """Take that the former holder has certainly stopped."""
        self.earliest_start_s = min(self.earliest_start_s, stopped_s)
        self.former_store_loads = loads


def begin(
    *,
    fence: int,
    sent_s: float,
    now_s: float,
    own_orders_end_s: float,
    first: bool,
) -> LeaseTerm:
    """Return the tenure of a lease just acquired by a write sent at sent_s.

    A former holder that can't be asked may go on for its whole belief.
    """
    wait_s = float(0) if first else VALIDITY_S + SAFETY_MARGIN_S
    return LeaseTerm(
        fence=fence,
        acquired_s=now_s,
        renewed_s=sent_s,
        earliest_start_s=now_s + wait_s,
        own_orders_end_s=own_orders_end_s,
        former_store_loads=0 if first else None,
    )
