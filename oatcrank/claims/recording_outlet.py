"""Record an answer while passing it on."""

from collections.abc import Awaitable

from oatcrank.entry import outlet


class RecordingOutlet(outlet.Outlet):
    """Record the complete answer and pass it on to another writer."""

    def __init__(self, inner: outlet.Outlet) -> None:
        """Start with an empty record."""
        self.status = 0
        self.content_type = ''
        self._body = bytearray()
        self._inner = inner

    @property
    def body(self) -> bytes:
        """Return the body recorded so far."""
        return bytes(self._body)

    def head(self, status: int, content_type: str) -> None:
        """Set the status and content type; later calls are ignored."""
        if not self.status:
            self.status = status
            self.content_type = content_type
        self._inner.head(status, content_type)

    def write(self, chunk: bytes) -> Awaitable[None] | None:
        """Record a chunk of the body and pass it on."""
        self._body += chunk
        return self._inner.write(chunk)
