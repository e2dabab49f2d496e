"""Split a stream of server-sent events into complete events."""

import re

EVENT_END = b'\n\n'
EVENT_ID = re.compile(rb'(?:^|\n)id: ?(\d+)')


class EventCutter:
    """Return complete events, without duplicates across several runs."""

    def __init__(self, last_id: int | None) -> None:
        """Start after the last event that the caller received."""
        self.last_id = last_id
        self.events = 0
        self._rest = b''

    def restart(self) -> None:
        """Drop the incomplete event of an interrupted run."""
        self._rest = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that this chunk completes."""
        *events, rest = (self._rest + chunk).split(EVENT_END)
        self._rest = rest
        return b''.join(
            event + EVENT_END for event in events if self._is_new(event)
        )

    def rest(self) -> bytes:
        """Return the bytes after the last event of a complete stream."""
        rest = self._rest
        self._rest = b''
        return rest

    def _is_new(self, event: bytes) -> bool:
        self.events += 1
        match = EVENT_ID.search(event)
        if match is None:
            return True
        event_id = int(match[1])
        if self.last_id is not None and event_id <= self.last_id:
            return False
        self.last_id = event_id
        return True
