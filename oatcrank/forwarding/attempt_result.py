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
    framing is None if no head of an answer has arrived.  event_count is the
    number of whole events of this answer.  given_up: this instance has ended
    the answer, not the server.
    """

    progress: attempt_state.Progress
    reason: str = ''
    answer: BufferedAnswer | None = None
    end: answer_end.AnswerEnd | None = None
    misdirected: bool = False
    sent_s: float = 0
    framing: message.Framing | None = None
    event_count: int = 0
    given_up: bool = False

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the end of its connection ended the answer."""
        return self.framing is message.Framing.connection_end
