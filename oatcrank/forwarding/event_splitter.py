"""Split a stream of server-sent events into complete events."""

import re

from oatcrank import errors

# End of an event's last line, and the empty line after it.
EVENT_END = re.compile(rb'\n\r?\n')
LINE_ENDS = b'\r\n'
# Limit of one event.
MAX_EVENT_BYTES = 1_048_576
EVENT_ID = re.compile(rb'(?:^|\n)id: ?(\d+)')


class EventTooLong(errors.OatcrankError):
    """Raised for an event that has no end within MAX_EVENT_BYTES."""


class EventSplitter:
    """Return complete events, without duplicates across several runs."""

    def __init__(self, last_id: int | None) -> None:
        """Start after the last event that the caller received."""
        self.last_id = last_id
        self.event_count = 0
        self._partial = b''

    @property
    def partial_bytes(self) -> int:
        """Return the size of the incomplete event, without line ends."""
        return len(self._partial.strip(LINE_ENDS))

    def discard_partial(self) -> None:
        """Drop the incomplete event of an interrupted run."""
        self._partial = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that this chunk completes.

        Raises EventTooLong if one has no end within MAX_EVENT_BYTES.
        """
        buffered = self._partial + chunk
        events = []
        start = 0
        for match in EVENT_END.finditer(buffered):
            events.append(buffered[start : match.end()])
            start = match.end()
        self._partial = buffered[start:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLong(f'over {MAX_EVENT_BYTES} bytes without an end')
        return b''.join(event for event in events if self._is_new(event))

    def take_remainder(self) -> bytes:
        """Return the bytes after the last event of a complete stream."""
        partial = self._partial
        self._partial = b''
        return partial

    def _is_new(self, event: bytes) -> bool:
        self.event_count += 1
        match = EVENT_ID.search(event)
        if match is None:
            return True
        event_id = int(match[1])
        if self.last_id is not None and event_id <= self.last_id:
            return False
        self.last_id = event_id
        return True
