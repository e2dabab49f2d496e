"""Admission control: decide whether a request can finish in time."""

import msgspec

MIN_RETRY_AFTER_S = 1.0


class Expectation(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the estimated timing of a request, in seconds from now."""

    start_s: float
    service_s: float
    useful_s: float


def retry_after_s(expected: Expectation) -> float | None:
    """Return the delay before a retry, or None if the request is admitted.

    A request is admitted if it is expected to end within the remaining time,
    even if it misses its latency targets.
    """
    excess_s = expected.start_s + expected.service_s - expected.useful_s
    if excess_s <= 0:
        return None
    return max(MIN_RETRY_AFTER_S, excess_s)
