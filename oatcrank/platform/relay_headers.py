"""Encode requests that one instance sends to another for a caller."""

import msgspec

from oatcrank import logs
from oatcrank.routing import server_process
from oatcrank.transport import message

# A relayed request is not relayed again.  Both marks hold one more than the
# number of sends that have reached servers, since instances that don't count
# them write 1.
RELAYED = b'x-oatcrank-relayed'
# A refusal by an instance that does not reach the servers either.
UNREACHED = b'x-oatcrank-unreached'
# The server whose answer is passed on, if it says that it leaves.
LEAVING_SERVER = b'x-oatcrank-leaving-server'
DEADLINE_MS = b'x-deadline-ms'
MS_PER_S = 1000
# Larger numbers count as this many sends.
MAX_SENDS = 100


def encode_sends(sends: int) -> bytes:
    """Encode how many sends have reached servers."""
    return b'%d' % (sends + 1)


def decode_sends(mark: bytes | None) -> int:
    """Return how many sends have reached servers; 0 if it is malformed."""
    if mark is None or not mark.isdigit():
        return 0
    return min(MAX_SENDS, max(0, int(mark[:9]) - 1))


def encode(raw: message.Request, left_s: float, sends: int) -> bytes:
    """Encode a caller's request with the time that is left."""
    left_ms = max(1, int(left_s * MS_PER_S))
    lines = [b'%s %s HTTP/1.1' % (raw.method, raw.target)]
    lines.extend(
        b'%s: %s' % pair
        for pair in message.end_to_end(raw.headers)
        if pair[0].lower() not in {RELAYED, DEADLINE_MS}
    )
    lines.append(b'X-Deadline-Ms: %d' % left_ms)
    lines.append(b'%s: %s' % (RELAYED, encode_sends(sends)))
    lines.append(b'Content-Length: %d' % len(raw.body))
    return b'\r\n'.join((*lines, b'', b'')) + raw.body


def passed_leaving(
    leaving: server_process.RegisteredProcess,
) -> message.Headers:
    """Return the headers that tell an instance which server leaves."""
    return [(LEAVING_SERVER, msgspec.json.encode(leaving))]


def take_leaving(
    head: message.ResponseHead,
) -> server_process.RegisteredProcess | None:
    """Remove these headers from an answer; return what they tell."""
    encoded = head.header(LEAVING_SERVER)
    if encoded is None:
        return None
    head.headers = [
        pair for pair in head.headers if pair[0].lower() != LEAVING_SERVER
    ]
    try:
        return msgspec.json.decode(
            encoded, type=server_process.RegisteredProcess
        )
    except (msgspec.MsgspecError, UnicodeError) as error:
        logs.event('leaving_server_malformed', error=error)
        return None
