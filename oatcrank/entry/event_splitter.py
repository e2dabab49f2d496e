"""Cut a stream of server-sent events at the ends of events."""

EVENT_END = b'\n\n'
TOKEN_MARK = b'"index"'
DONE_EVENT = b'data: [DONE]'


class EventSplitter:
    """Hand on whole events only and count the tokens in them."""

    def __init__(self) -> None:
        """Start before the first event."""
        self.tokens = 0
        self.done = False
        self._rest = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that are complete with this chunk."""
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
