"""Split a stream of server-sent events at event boundaries."""

EVENT_END = b'\n\n'
TOKEN_MARK = b'"index"'
DONE_EVENT = b'data: [DONE]'


class EventSplitter:
    """Return complete events only and count the tokens in them."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.tokens = 0
        self.done = False
        self._rest = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that this chunk completes."""
        buffered = self._rest + chunk if self._rest else chunk
        end = buffered.rfind(EVENT_END)
        if end < 0:
            self._rest = buffered
            return b''
        cut = end + len(EVENT_END)
        whole = buffered[:cut]
        self._rest = buffered[cut:]
        self.tokens += whole.count(TOKEN_MARK)
        self.done = self.done or DONE_EVENT in whole
        return whole
