"""Hold HTTP messages as they were read."""

import msgspec

Headers = list[tuple[bytes, bytes]]


class Request(msgspec.Struct):
    """Hold one request, whole; times are monotonic seconds."""

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
        return find(self.headers, name)


class ResponseHead(msgspec.Struct):
    """Hold the status and headers of a response."""

    status: int
    reason: bytes
    headers: Headers
    keep_alive: bool

    def header(self, name: bytes) -> bytes | None:
        """Return a header's value by its name in lower case."""
        return find(self.headers, name)


def find(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, named in lower case."""
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
    """Return the headers that concern more than one connection."""
    named = set(HOP_BY_HOP)
    for key, text in headers:
        if key.lower() == b'connection':
            named.update(word.strip().lower() for word in text.split(b','))
    named.discard(b'host')
    return [pair for pair in headers if pair[0].lower() not in named]
