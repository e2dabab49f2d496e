"""Split a stream of server-sent events at event boundaries."""

EVENT_END = b'\n\n'
# Occurs once in the event of each token.
TOKEN_MARKER = b'"index"'
DONE_EVENT = b'data: [DONE]'


class EventSplitter:
    """Return complete events only and count the tokens in them."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.tokens = 0
        self.done = False
        self._buffer = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that this chunk completes."""
        buffered = self._buffer + chunk if self._buffer else chunk
        end = buffered.rfind(EVENT_END)
        if end < 0:
            self._buffer = buffered
            return b''
        cut = end + len(EVENT_END)
        events = buffered[:cut]
        self._buffer = buffered[cut:]
        self.tokens += events.count(TOKEN_MARKER)
        self.done = self.done or DONE_EVENT in events
        return events
