"""Decide whether a request waits at a loaded server or is turned away.

Answers bursts, servers lost and impatient callers: what would start too late
to be of use is refused at once, and nothing is refused where a slot is free.
"""

import msgspec

MIN_RETRY_AFTER_S = 0.2
# Callers who were refused together come back spread over this share more.
JITTER_SHARE = 0.5


class QueueState(msgspec.Struct, frozen=True, kw_only=True):
    """Say how busy the best server is: requests there, slots, seconds each.

    seen_wait_s is how long answers there took to begin lately.
    """

    requests: float
    slots: int
    service_s: float
    recent_wait_s: float = 0


def expected_wait_s(queue: QueueState) -> float:
    """Return how long a request probably waits for a slot, in seconds."""
    ahead = queue.requests - queue.slots
    if ahead < 0:
        return 0
    worked_off_s = (ahead + 1) * queue.service_s / max(1, queue.slots)
    return max(worked_off_s, queue.recent_wait_s)


def retry_after_s(
    queue: QueueState,
    left_s: float,
    jitter: float,
) -> float | None:
    """Return when to come back, or None if the request is to be taken.

    The spread, from 0 to 1, is drawn so that callers don't return together.
    """
    excess_s = expected_wait_s(queue) + queue.service_s - left_s
    if excess_s <= 0 or queue.requests < queue.slots:
        return None
    return jittered_s(excess_s, jitter)


def jittered_s(after_s: float, jitter: float) -> float:
    """Return when to come back that is at least so late, and not together."""
    return max(MIN_RETRY_AFTER_S, after_s) * (1 + JITTER_SHARE * jitter)
