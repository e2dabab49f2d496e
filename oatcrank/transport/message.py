"""Define parsed HTTP messages."""

import enum
import http

import msgspec

Headers = list[tuple[bytes, bytes]]

MAX_STATUS = 599
BODYLESS_STATUSES = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED),
)


class Request(msgspec.Struct):
    """Complete request; began_s is a monotonic time in seconds."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    began_s: float
    peer: str
    keep_alive: bool

    @property
    def path(self) -> bytes:
        """Return the target without its query."""
        return self.target.partition(b'?')[0]

    def header(self, name: bytes) -> bytes | None:
        """Return a header's value by its name in lower case."""
        return find_header(self.headers, name)


class Framing(enum.Enum):
    """What marks the end of a response body."""

    length = 'length'
    chunks = 'chunks'
    connection_end = 'connection_end'


class ResponseHead(msgspec.Struct):
    """Status and headers of a response."""

    status: int
    reason: bytes
    headers: Headers
    keep_alive: bool
    framing: Framing

    def header(self, name: bytes) -> bytes | None:
        """Return a header's value by its name in lower case."""
        return find_header(self.headers, name)


def has_body(status: int) -> bool:
    """Return whether answers with this status have a body."""
    return status not in BODYLESS_STATUSES


def is_final(status: int) -> bool:
    """Return whether an answer may have this status."""
    return http.HTTPStatus.OK <= status <= MAX_STATUS


def is_interim(status: int) -> bool:
    """Return whether a status says that the answer follows.

    None of ours offers an upgrade, which 101 would accept.
    """
    if status == http.HTTPStatus.SWITCHING_PROTOCOLS:
        return False
    return http.HTTPStatus.CONTINUE <= status < http.HTTPStatus.OK


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header by its name in lower case."""
    for key, text in headers:
        if key.lower() == name:
            return text
    return None


HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)


def end_to_end(headers: Headers) -> Headers:
    """Return the end-to-end headers, without the hop-by-hop ones."""
    removed = set(HOP_BY_HOP)
    for key, text in headers:
        if key.lower() == b'connection':
            removed.update(word.strip().lower() for word in text.split(b','))
    # A Connection header can't remove Host, which every request needs.
    removed.discard(b'host')
    return [pair for pair in headers if pair[0].lower() not in removed]


def encode_head_without_upgrade(
    method: bytes, target: bytes, version: str, headers: Headers
) -> bytes:
    """Encode the head of a request without its offer to upgrade."""
    lines = [b'%s %s HTTP/%s' % (method, target, version.encode())]
    lines.extend(
        b'%s: %s' % pair for pair in headers if pair[0].lower() != b'upgrade'
    )
    return b'\r\n'.join((*lines, b'', b''))
