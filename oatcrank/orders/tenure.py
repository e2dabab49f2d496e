"""Tell from times alone whether this instance may give orders.

All times are of a clock that runs on while a machine is suspended.
"""

import msgspec

from oatcrank import ids

# A holder stops this long after it sent the last renewal that succeeded.
BELIEF_S = 1.5
SAFETY_S = 0.2


class Tenure(msgspec.Struct, kw_only=True):
    """Hold the times of one turn at giving orders.

    turn_s must pass between the orders of two holders to one server.
    """

    fence: int
    acquired_s: float
    renewed_s: float
    starts_s: float
    turn_s: float
    starts_s_by_id: dict[ids.ServerId, float] = msgspec.field(
        default_factory=dict,
    )

    def may_order(self, server_id: ids.ServerId, now_s: float) -> bool:
        """Tell whether an order may be sent to a server now."""
        return self.start_s(server_id) <= now_s < self.renewed_s + BELIEF_S

    def start_s(self, server_id: ids.ServerId) -> float:
        """Return when orders to a server may begin."""
        return max(
            self.starts_s,
            self.starts_s_by_id.get(server_id, self.starts_s),
        )

    def renew(self, sent_s: float) -> None:
        """Take a renewal that succeeded, by when it was sent."""
        self.renewed_s = max(self.renewed_s, sent_s)

    def follow(
        self,
        last_order_s_by_id: dict[ids.ServerId, float],
        waits_until_s: float,
    ) -> None:
        """Take what the former holder tells: it has stopped for good.

        If its own turn had not begun, this one doesn't begin sooner.
        """
        self.starts_s = max(self.acquired_s, waits_until_s)
        self.starts_s_by_id = {
            server_id: last_s + self.turn_s + SAFETY_S
            for server_id, last_s in last_order_s_by_id.items()
        }


def begin(
    *,
    fence: int,
    sent_s: float,
    now_s: float,
    turn_s: float,
    first: bool,
) -> Tenure:
    """Return the tenure of a lease just acquired by a write sent at sent_s.

    A former holder that can't be asked may go on for its whole belief.
    """
    wait_s = 0.0 if first else BELIEF_S + turn_s + SAFETY_S
    return Tenure(
        fence=fence,
        acquired_s=now_s,
        renewed_s=sent_s,
        starts_s=now_s + wait_s,
        turn_s=turn_s,
    )
