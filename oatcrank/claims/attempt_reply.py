"""Message that reports the state of an attempt."""

import enum

import msgspec

from oatcrank.claims import claimed_answer


class AttemptState(enum.Enum):
    """Define the states of an attempt that its claimant reports.

    absent: it was withdrawn, or its end is already in the log; it will not be
    dispatched from now on.
    gone: the process that made the attempt has ended or does not answer.
    """

    running = 'running'
    ended = 'ended'
    interrupted = 'interrupted'
    absent = 'absent'
    gone = 'gone'


class AttemptReply(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the state and, for an ended attempt, the complete answer."""

    state: AttemptState
    answer: claimed_answer.ClaimedAnswer | None = None
