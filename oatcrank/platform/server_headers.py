"""Decode what a server says of itself in the headers of its answers."""

import http
import math

from oatcrank.routing import server_pause
from oatcrank.transport import message

LEAVING = b'server-leaving'
# Value of this header in an answer of a server that does not leave.
STAYS = b'0'
RETRY_AFTER = b'retry-after'


def is_leaving(status: int, headers: message.Headers) -> bool:
    """Return whether a server says in an answer that it leaves.

    Another server has the address if the request was misdirected.
    """
    if status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return False
    text = message.find_header(headers, LEAVING)
    return text is not None and text.strip() != STAYS


def requested_pause(
    status: int, headers: message.Headers
) -> server_pause.RequestedPause | None:
    """Return for how long a server that turns a request away wants nothing.

    A time that can't be decoded is none, and one that is too long is cut.
    """
    if status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    text = message.find_header(headers, RETRY_AFTER)
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if math.isnan(seconds) or seconds < 0:
        return server_pause.RequestedPause(0, f'{text!r} is no time in seconds')
    if seconds > server_pause.MAX_PAUSE_S:
        return server_pause.RequestedPause(
            server_pause.MAX_PAUSE_S, f'{text!r} is too long'
        )
    return server_pause.RequestedPause(seconds)
