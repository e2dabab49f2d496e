"""Times of the steps of a planned stop."""

import msgspec

# Callers keep an address this long before they resolve it again.
ADDRESS_TTL_S = 2.0
# Callers that keep it longer find the port closed, and their requests on open
# connections are refused, so that they resolve it again.
ACCEPT_AFTER_STOP_S = 2.5
# Time for the process to end after its connections, and its share of a short
# timeout.
MAX_MARGIN_S = 0.5
MARGIN_SHARE = 0.06


class StopSchedule(msgspec.Struct, frozen=True, kw_only=True):
    """Monotonic times of a planned stop, in seconds.

    accepts_until_s: later requests are refused, and the port is closed.
    give_up_s: requests without an answer are refused.
    connections_end_s: the answers that go on are cut off.
    ends_s: the process ends, whatever has not been done.
    """

    accepts_until_s: float
    give_up_s: float
    connections_end_s: float
    ends_s: float


def schedule(began_s: float, timeout_s: float) -> StopSchedule:
    """Return the times of a stop that began and has a timeout."""
    margin_s = min(MAX_MARGIN_S, timeout_s * MARGIN_SHARE)
    killed_s = began_s + timeout_s
    connections_end_s = killed_s - margin_s
    give_up_s = connections_end_s - margin_s / 2
    return StopSchedule(
        accepts_until_s=min(began_s + ACCEPT_AFTER_STOP_S, give_up_s),
        give_up_s=give_up_s,
        connections_end_s=connections_end_s,
        ends_s=killed_s - margin_s / 2,
    )
