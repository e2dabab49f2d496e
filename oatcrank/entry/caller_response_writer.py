"""Write an answer to the caller's connection."""

from collections.abc import Awaitable

from tornado import iostream, web

from oatcrank.entry import response_writer


class CallerResponseWriter(response_writer.ResponseWriter):
    """Write to a caller, who may have disconnected."""

    def __init__(self, handler: web.RequestHandler) -> None:
        """Write through the handler of a request."""
        self.started = False
        self.disconnected = False
        self._head_sent = False
        self._handler = handler

    def write_head(self, status: int, content_type: str) -> None:
        """Set the status and content type; later calls are ignored."""
        if self.started or self.disconnected:
            return
        self.started = True
        self._handler.set_status(status)
        self._handler.set_header('Content-Type', content_type)

    def write(self, chunk: bytes) -> Awaitable[None] | None:
        """Send a chunk of the body, unless the caller has disconnected."""
        if self.disconnected:
            return None
        connection = self._handler.request.connection
        if not self._head_sent or connection is None:
            self._head_sent = True
            self._handler.write(chunk)
            return self._flush()
        # After the head, bypass the handler: it adds overhead to each token.
        written = connection.write(chunk)
        if written.done():
            return None
        return self._wait(written)

    async def _flush(self) -> None:
        await self._wait(self._handler.flush())

    async def _wait(self, written: Awaitable[None]) -> None:
        try:
            await written
        except iostream.StreamClosedError:
            self.disconnected = True
