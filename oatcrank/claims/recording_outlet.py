"""Record an answer while it is sent on."""

from collections.abc import Awaitable

from oatcrank.entry import outlet


class RecordingOutlet(outlet.Outlet):
    """Keep the whole answer and hand it on to another outlet."""

    def __init__(self, onward: outlet.Outlet) -> None:
        """Record nothing yet."""
        self.status = 0
        self.content_type = ''
        self._body = bytearray()
        self._onward = onward

    @property
    def body(self) -> bytes:
        """Return what has been recorded."""
        return bytes(self._body)

    def head(self, status: int, content_type: str) -> None:
        """Take the status and content type; later calls are ignored."""
        if not self.status:
            self.status = status
            self.content_type = content_type
        self._onward.head(status, content_type)

    def write(self, chunk: bytes) -> Awaitable[None] | None:
        """Record and hand on a part of the body."""
        self._body += chunk
        return self._onward.write(chunk)
