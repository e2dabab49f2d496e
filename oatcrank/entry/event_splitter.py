"""Split a stream of server-sent events at event boundaries."""

from oatcrank import errors

EVENT_END = b'\n\n'
# Occurs once in the event of each token.
TOKEN_MARKER = b'"index"'
DONE_EVENT = b'data: [DONE]'
MAX_EVENT_BYTES = 1_048_576


class EventSplitter:
    """Return complete events only and count the tokens in them."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.tokens = 0
        self.done = False
        self._buffer = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that this chunk completes.

        Raises errors.Interrupted if one has no end within MAX_EVENT_BYTES.
        """
        buffered = self._buffer + chunk if self._buffer else chunk
        end = buffered.rfind(EVENT_END)
        if end < 0:
            if len(buffered) > MAX_EVENT_BYTES:
                raise errors.Interrupted('an event of the stream has no end')
            self._buffer = buffered
            return b''
        cut = end + len(EVENT_END)
        events = buffered[:cut]
        self._buffer = buffered[cut:]
        self.tokens += events.count(TOKEN_MARKER)
        self.done = self.done or DONE_EVENT in events
        return events
