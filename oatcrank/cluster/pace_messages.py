"""Define the datagrams by which instances agree on a server's pace."""

import msgspec

from oatcrank import errors, ids
from oatcrank.routing import prompt_schedule


class PaceQuery(msgspec.Struct, frozen=True, tag='query'):
    """Ask for a prompt's turn at a server."""

    number: int
    server_id: ids.ServerId
    prompt: prompt_schedule.Prompt


class PaceReply(msgspec.Struct, frozen=True, tag='reply'):
    """Say how long the prompt of a query waits, in seconds."""

    number: int
    wait_s: float


class Malformed(errors.OatcrankError):
    """Report a datagram that is none of these."""


_DECODER = msgspec.json.Decoder(PaceQuery | PaceReply)


def decode(datagram: bytes) -> PaceQuery | PaceReply:
    """Return what a datagram says or raise Malformed."""
    try:
        return _DECODER.decode(datagram)
    except msgspec.MsgspecError as error:
        raise Malformed(str(error)) from error


def encode(one: PaceQuery | PaceReply) -> bytes:
    """Return a message as a datagram."""
    return msgspec.json.encode(one)
