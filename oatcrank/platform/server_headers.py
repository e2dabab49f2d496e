"""Decode what a server says of itself in the headers of its answers."""

import http

from oatcrank.transport import message

LEAVING = b'server-leaving'


def is_leaving(status: int, headers: message.Headers) -> bool:
    """Return whether a server says in an answer that it leaves.

    Another server has the address if the request was misdirected.
    """
    return (
        status != http.HTTPStatus.MISDIRECTED_REQUEST
        and message.find_header(headers, LEAVING) is not None
    )
