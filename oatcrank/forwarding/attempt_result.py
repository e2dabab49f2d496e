"""Define the result of a send to a backend server."""

import msgspec

from oatcrank.forwarding import answer_end, attempt_state
from oatcrank.transport import message


class BufferedAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Complete answer, buffered before it is forwarded."""

    status: int
    reason: bytes
    headers: message.Headers
    body: bytes


class AttemptResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of an attempt; answer is None if it was already forwarded.

    end is None if no stream was received.  sent_s is a time of the event loop.
    """

    progress: attempt_state.Progress
    reason: str = ''
    answer: BufferedAnswer | None = None
    end: answer_end.AnswerEnd | None = None
    misdirected: bool = False
    sent_s: float = 0
