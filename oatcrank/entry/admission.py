"""Decide whether a request can still be of use once it is run."""

import msgspec

SHORTEST_RETRY_S = 1.0


class Expectation(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what is expected of a request, in seconds from now."""

    start_s: float
    service_s: float
    useful_s: float


def retry_after_s(expected: Expectation) -> float | None:
    """Return when to come back, or None if the request is to be taken.

    A request that misses its target but still ends while its answer is of use
    is taken.
    """
    excess_s = expected.start_s + expected.service_s - expected.useful_s
    if excess_s <= 0:
        return None
    return max(SHORTEST_RETRY_S, excess_s)
