"""Record an answer while passing it on."""

from collections.abc import Awaitable

from oatcrank.entry import response_writer


class RecordingResponseWriter(response_writer.ResponseWriter):
    """Record the complete answer and pass it on to another writer."""

    def __init__(self, writer: response_writer.ResponseWriter) -> None:
        """Start with an empty record."""
        self.status = 0
        self.content_type = ''
        self._body = bytearray()
        self._writer = writer

    @property
    def body(self) -> bytes:
        """Return the body recorded so far."""
        return bytes(self._body)

    def write_head(self, status: int, content_type: str) -> None:
        """Set the status and content type; later calls are ignored."""
        if not self.status:
            self.status = status
            self.content_type = content_type
        self._writer.write_head(status, content_type)

    def write(self, chunk: bytes) -> Awaitable[None] | None:
        """Record a chunk of the body and pass it on."""
        self._body += chunk
        return self._writer.write(chunk)
