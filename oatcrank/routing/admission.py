"""Decide whether a request waits at a loaded server or is turned away.

Answers bursts, servers lost and impatient callers: what would start too late
to be of use is refused at once, and nothing is refused where a slot is free.
"""

import msgspec

EARLIEST_RETURN_S = 0.2
# Callers who were refused together come back spread over this share more.
SPREAD = 0.5


class Pressure(msgspec.Struct, frozen=True, kw_only=True):
    """Say how busy the best server is: requests there, slots, seconds each.

    seen_wait_s is how long answers there took to begin lately.
    """

    requests: float
    slots: int
    service_s: float
    seen_wait_s: float = 0


def wait_s(pressure: Pressure) -> float:
    """Return how long a request probably waits for a slot, in seconds."""
    ahead = pressure.requests - pressure.slots
    if ahead < 0:
        return 0
    worked_off_s = (ahead + 1) * pressure.service_s / max(1, pressure.slots)
    return max(worked_off_s, pressure.seen_wait_s)


def return_s(
    pressure: Pressure,
    left_s: float,
    spread: float,
) -> float | None:
    """Return when to come back, or None if the request is to be taken.

    The spread, from 0 to 1, is drawn so that callers don't return together.
    """
    excess_s = wait_s(pressure) + pressure.service_s - left_s
    if excess_s <= 0 or pressure.requests < pressure.slots:
        return None
    return spread_out(excess_s, spread)


def spread_out(after_s: float, spread: float) -> float:
    """Return when to come back that is at least so late, and not together."""
    return max(EARLIEST_RETURN_S, after_s) * (1 + SPREAD * spread)
