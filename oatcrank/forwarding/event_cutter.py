"""Cut a stream of server-sent events into whole events with ids."""

import re

EVENT_END = b'\n\n'
EVENT_ID = re.compile(rb'(?:^|\n)id: ?(\d+)')


class EventCutter:
    """Hand on whole events only, none twice, across several runs."""

    def __init__(self, last_id: int | None) -> None:
        """Go on after the event that the caller has seen last."""
        self.last_id = last_id
        self.events = 0
        self._rest = b''

    def restart(self) -> None:
        """Drop the half event of a run that broke off."""
        self._rest = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that are whole with this chunk."""
        *events, rest = (self._rest + chunk).split(EVENT_END)
        self._rest = rest
        return b''.join(
            event + EVENT_END for event in events if self._is_new(event)
        )

    def rest(self) -> bytes:
        """Return what follows the last whole event of a complete stream."""
        rest = self._rest
        self._rest = b''
        return rest

    def _is_new(self, event: bytes) -> bool:
        self.events += 1
        found = EVENT_ID.search(event)
        if found is None:
            return True
        event_id = int(found[1])
        if self.last_id is not None and event_id <= self.last_id:
            return False
        self.last_id = event_id
        return True
