"""Decode the ids of events, which are whole numbers of any size."""

import re

# Decimal digits as `%d` writes them, so that an id is passed on as it came.
# Numbers of thousands of digits can't be converted.
EVENT_ID = re.compile(rb'0|[1-9][0-9]{0,99}')
ID_FIELD = b'id:'
ID_LINE = b'\nid:'
LINE_ENDS = b'\r\n'


def decode(text: bytes) -> int | None:
    """Return the id, or None if it is no number or is not written as one."""
    if EVENT_ID.fullmatch(text) is None:
        return None
    return int(text)


def of_event(event: bytes) -> int | None:
    """Return the id of an event; None if it has none that can be read.

    As for all receivers of events, the last id counts.
    """
    start = event.rfind(ID_LINE) + 1
    if not (start or event.startswith(ID_FIELD)):
        return None
    line, _, _ = event[start + len(ID_FIELD) :].partition(b'\n')
    return decode(line.removeprefix(b' ').rstrip(LINE_ENDS))
