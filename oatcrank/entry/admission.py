"""Admission control: decide whether a request can finish in time."""

import msgspec

MIN_RETRY_AFTER_S = 1.0


class TimingEstimate(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the estimated timing of a request, in seconds from now."""

    start_s: float
    service_s: float
    remaining_s: float


def retry_after_s(estimate: TimingEstimate) -> float | None:
    """Return the delay before a retry, or None if the request is admitted.

    A request is admitted if it is expected to end within the remaining time,
    even if it misses its latency targets.
    """
    excess_s = estimate.start_s + estimate.service_s - estimate.remaining_s
    if excess_s <= 0:
        return None
    return max(MIN_RETRY_AFTER_S, excess_s)
