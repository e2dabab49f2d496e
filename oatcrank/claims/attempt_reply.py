"""Tell how an attempt stands."""

import enum

import msgspec

from oatcrank.claims import claimed_answer


class AttemptState(enum.Enum):
    """Name the states of an attempt that its claimant tells.

    absent: it is withdrawn, or the log already holds its end; it will not be
    dispatched from now on.
    gone: the process that made it is gone or does not answer.
    """

    running = 'running'
    ended = 'ended'
    interrupted = 'interrupted'
    absent = 'absent'
    gone = 'gone'


class AttemptReply(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the state and, of an ended attempt, the whole answer."""

    state: AttemptState
    answer: claimed_answer.ClaimedAnswer | None = None
