"""Define the datagrams that reserve slots in a server's prompt schedule."""

import msgspec

from oatcrank import errors, ids
from oatcrank.routing import prompt_schedule


class SlotQuery(msgspec.Struct, frozen=True, tag='query'):
    """Ask the schedule owner for a prompt slot at a server."""

    number: int
    server_id: ids.ServerId
    prompt: prompt_schedule.Prompt


class SlotReply(msgspec.Struct, frozen=True, tag='reply'):
    """Report the wait in seconds for the prompt of a query."""

    number: int
    wait_s: float


class Malformed(errors.OatcrankError):
    """Raised for a datagram that is neither a query nor a reply."""


_DECODER = msgspec.json.Decoder(SlotQuery | SlotReply)


def decode(datagram: bytes) -> SlotQuery | SlotReply:
    """Decode a datagram or raise Malformed."""
    try:
        return _DECODER.decode(datagram)
    except msgspec.MsgspecError as error:
        raise Malformed(str(error)) from error


def encode(message: SlotQuery | SlotReply) -> bytes:
    """Encode a message as a datagram."""
    return msgspec.json.encode(message)
