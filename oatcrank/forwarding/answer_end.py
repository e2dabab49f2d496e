"""Describe how a streamed answer of a server ended."""

import msgspec

from oatcrank.transport import backend_connection, message


class AnswerEnd(msgspec.Struct, frozen=True, kw_only=True):
    """End of a streamed answer.

    event_count: complete events of all answers to the request so far.
    partial_bytes: bytes received after the last complete event.
    """

    framing: message.Framing
    ending: backend_connection.Ending
    event_count: int
    partial_bytes: int
