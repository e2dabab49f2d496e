"""Define the datagrams that instances exchange."""

import msgspec

from oatcrank import errors, ids
from oatcrank.cluster import (
    leaving_messages,
    limit_messages,
    numbered_reply,
    quota_messages,
)
from oatcrank.routing import prompt_schedule, stream_origin


class SlotQuery(msgspec.Struct, frozen=True, tag='query'):
    """Ask the schedule owner for a prompt slot at a server."""

    number: int
    server_id: ids.ServerId
    prompt: prompt_schedule.Prompt


class SlotReply(numbered_reply.NumberedReply, frozen=True, tag='reply'):
    """Report the wait in seconds for the prompt of a query."""

    wait_s: float


class OriginCopy(msgspec.Struct, frozen=True, tag='origin'):
    """Copy the origin of a stream; request_id brings its first event."""

    request_id: ids.RequestId
    origin: stream_origin.StreamOrigin


Datagram = (
    SlotQuery
    | SlotReply
    | OriginCopy
    | leaving_messages.LeavingNotice
    | limit_messages.LimitNotice
    | limit_messages.PermitQuery
    | limit_messages.PermitReply
    | quota_messages.QuotaQuery
    | quota_messages.QuotaReply
    | quota_messages.QuotaCopy
    | quota_messages.QuotaCopyReply
)


class Malformed(errors.OatcrankError):
    """Raised for a datagram that is none of these messages."""


_DECODER = msgspec.json.Decoder(Datagram)


def decode(datagram: bytes) -> Datagram:
    """Decode a datagram or raise Malformed."""
    try:
        return _DECODER.decode(datagram)
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
        raise Malformed(str(error)) from error


def encode(message: Datagram) -> bytes:
    """Encode a message as a datagram."""
    return msgspec.json.encode(message)
