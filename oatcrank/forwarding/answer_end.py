"""Describe how a streamed answer of a server ended."""

import msgspec

from oatcrank.transport import backend_connection, message


class AnswerEnd(msgspec.Struct, frozen=True, kw_only=True):
    """End of a streamed answer.

    event_count: complete events of this answer.
    partial_bytes: bytes of an incomplete event at the end.
    """

    framing: message.Framing
    ending: backend_connection.Ending
    event_count: int
    partial_bytes: int

    @property
    def fault(self) -> str | None:
        """Return why the stream is incomplete, or None if it is whole.

        A server may end an interrupted stream like a whole one, so the end
        of the framing alone doesn't show that all events have arrived.
        """
        if self.ending is not backend_connection.Ending.complete:
            return 'incomplete stream'
        if self.partial_bytes:
            return 'the stream ended within an event'
        ends_with_connection = self.framing is message.Framing.connection_end
        if ends_with_connection and not self.event_count:
            return 'the stream ended before its first event'
        return None
