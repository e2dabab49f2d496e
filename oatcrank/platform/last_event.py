"""Decode which event of a stream a caller names as its last one."""

from oatcrank.transport import message

LAST_EVENT_ID = b'last-event-id'


def named_text(headers: message.Headers) -> bytes:
    """Return what a caller names as its last event; empty if it names none.

    Several ones are joined, so that they can't be read as one.
    """
    texts = {
        text.strip() for name, text in headers if name.lower() == LAST_EVENT_ID
    }
    return b', '.join(sorted(texts))
