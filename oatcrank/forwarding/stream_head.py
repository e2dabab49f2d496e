"""Decide whether a server's answer is a stream of events."""

import http

from oatcrank.transport import message

EVENT_STREAM = b'text/event-stream'
SUCCESS_STATUSES = range(
    http.HTTPStatus.OK,
    http.HTTPStatus.MULTIPLE_CHOICES,
)


def is_stream(head: message.ResponseHead) -> bool:
    """Return whether the answer of a streaming route has events as its body.

    Servers may leave out the content type.
    """
    if head.status not in SUCCESS_STATUSES or not message.has_body(head.status):
        return False
    content_type = head.header(b'content-type')
    if content_type is None:
        return True
    return content_type.partition(b';')[0].strip().lower() == EVENT_STREAM
