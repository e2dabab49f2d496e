"""Admission control: decide whether a request waits at a server or is refused.

A request that would start too late for its caller is refused at once, for
example during a burst or after the loss of servers.  No request is refused
while a slot is free.
"""

import msgspec

MIN_RETRY_AFTER_S = 0.2
# Retry times are extended by up to this share, so that callers that were
# refused together don't retry together.
JITTER_SHARE = 0.5


class QueueState(msgspec.Struct, frozen=True, kw_only=True):
    """Requests and slots of the selected server, and its time per request.

    recent_wait_s is how long recent answers took to begin.
    """

    requests: float
    slots: int
    service_s: float
    recent_wait_s: float = 0


def expected_wait_s(queue: QueueState) -> float:
    """Return the estimated wait for a slot, in seconds."""
    ahead = queue.requests - queue.slots
    if ahead < 0:
        return 0
    queue_s = (ahead + 1) * queue.service_s / max(1, queue.slots)
    return max(queue_s, queue.recent_wait_s)


def retry_after_s(
    queue: QueueState,
    remaining_s: float,
    jitter: float,
) -> float | None:
    """Return after how long to retry, or None if the request is admitted.

    remaining_s is how long the caller still waits.  The jitter is a random
    number from 0 to 1.
    """
    excess_s = expected_wait_s(queue) + queue.service_s - remaining_s
    if excess_s <= 0 or queue.requests < queue.slots:
        return None
    return jittered_s(excess_s, jitter)


def jittered_s(min_s: float, jitter: float) -> float:
    """Return a retry time of at least min_s, extended by the jitter."""
    return max(MIN_RETRY_AFTER_S, min_s) * (1 + JITTER_SHARE * jitter)
