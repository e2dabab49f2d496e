"""Split a stream of server-sent events into complete events."""

import re

from oatcrank import errors
from oatcrank.forwarding import event_ids

# End of an event's last line, and the empty line after it.
EVENT_END = re.compile(rb'\n\r?\n')
LINE_ENDS = b'\r\n'
# Limit of one event.
MAX_EVENT_BYTES = 1_048_576
# Longest end of an event but for its last byte.
MAX_CUT_END_BYTES = 2
# A line that is neither empty nor a comment.
FIELD = re.compile(rb'(?:^|\n)[^:\r\n]')


class InvalidEvent(errors.OatcrankError):
    """Raised for bytes that can't go on with a stream."""


class EventTooLong(InvalidEvent):
    """Raised for an event that has no end within MAX_EVENT_BYTES."""


class EventWithoutId(InvalidEvent):
    """Raised if a run does not show where it takes a stream up."""


class EventSplitter:
    """Return complete events, without duplicates across several runs."""

    def __init__(self, last_id: int | None) -> None:
        """Start after the last event that the caller received."""
        self.last_id = last_id
        self.event_count = 0
        # Whether the last event with fields had an id.
        self.ends_with_id = False
        self._shows_place = True
        self._repeats = False
        self._partial = bytearray()

    @property
    def held_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Return the size of the incomplete event, without line ends."""
        return len(self._partial.strip(LINE_ENDS))

    def begin_run(self, *, continues: bool) -> None:
        """Drop the incomplete event of an interrupted run.

        A run that continues a stream must begin with an event that has an id.
        """
        self._partial = bytearray()
        self._shows_place = not continues
        self._repeats = False

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that this chunk completes.

        Raises InvalidEvent if they can't go on with the stream.
        """
        searched = max(0, len(self._partial) - MAX_CUT_END_BYTES)
        self._partial += chunk
        events = []
        start = 0
        ends = [
            match.end() for match in EVENT_END.finditer(self._partial, searched)
        ]
        for end in ends:
            events.append(bytes(self._partial[start:end]))
            start = end
        del self._partial[:start]  # noqa: WPS420
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLong(f'over {MAX_EVENT_BYTES} bytes without an end')
        return b''.join(event for event in events if self._is_new(event))

    def take_remainder(self) -> bytes:
        """Return the bytes after the last event of a complete stream."""
        partial = bytes(self._partial)
        self._partial = bytearray()
        return partial

    def _is_new(self, event: bytes) -> bool:
        self.event_count += 1
        event_id = event_ids.of_event(event)
        if event_id is None:
            return self._is_new_without_id(event)
        self._shows_place = True
        self.ends_with_id = True
        # Events without id repeat what the one before them repeats.
        self._repeats = self.last_id is not None and event_id < self.last_id
        if self.last_id is not None and event_id <= self.last_id:
            return False
        self.last_id = event_id
        return True

    def _is_new_without_id(self, event: bytes) -> bool:
        if self._repeats:
            return False
        if FIELD.search(event) is None:
            return True
        if not self._shows_place:
            raise EventWithoutId('the stream goes on with an event without id')
        self.ends_with_id = False
        return True
