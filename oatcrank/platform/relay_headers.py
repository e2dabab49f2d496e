"""Encode requests that one instance sends to another for a caller."""

from oatcrank.transport import message

# A relayed request is not relayed again.
RELAYED = b'x-oatcrank-relayed'
# A refusal by an instance that does not reach the servers either.
UNREACHED = b'x-oatcrank-unreached'
DEADLINE_MS = b'x-deadline-ms'
MS_PER_S = 1000


def encode(raw: message.Request, left_s: float) -> bytes:
    """Encode a caller's request with the time that is left."""
    left_ms = max(1, int(left_s * MS_PER_S))
    lines = [b'%s %s HTTP/1.1' % (raw.method, raw.target)]
    lines.extend(
        b'%s: %s' % pair
        for pair in message.end_to_end(raw.headers)
        if pair[0].lower() not in {RELAYED, DEADLINE_MS}
    )
    lines.append(b'X-Deadline-Ms: %d' % left_ms)
    lines.append(b'%s: 1' % RELAYED)
    lines.append(b'Content-Length: %d' % len(raw.body))
    return b'\r\n'.join((*lines, b'', b'')) + raw.body
