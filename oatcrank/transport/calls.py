"""Make single HTTP calls to other processes."""

import asyncio

import msgspec

from oatcrank import errors
from oatcrank.transport import backend_connection, message
from oatcrank.transport import errors as transport_errors

CONNECT_TIMEOUT_S = 1.0
# Limit of a response that holds all keys of the store.
MAX_BODY_BYTES = 33_554_432
# Limit of any other: many calls may be under way at once.
USUAL_BODY_BYTES = 262_144


class CallResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a call."""

    status: int
    headers: message.Headers
    body: bytes


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """Request of a call; the body is JSON."""

    method: str
    target: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    max_response_bytes: int = USUAL_BODY_BYTES


async def call(address: str, request: Call, timeout_s: float) -> CallResponse:
    """Make a call on a new connection.

    Raises errors.NotStarted if nothing was sent, errors.Interrupted if the
    call may have been carried out.
    """
    host, _, port = address.rpartition(':')
    connection = await backend_connection.connect(
        host,
        int(port),
        min(CONNECT_TIMEOUT_S, timeout_s),
    )
    try:
        async with asyncio.timeout(timeout_s):
            return await exchange(connection, address, request)
    except TimeoutError as error:
        raise errors.Interrupted(f'{address}: timeout') from error
    finally:
        connection.close()


async def exchange(
    connection: backend_connection.BackendConnection,
    address: str,
    request: Call,
) -> CallResponse:
    """Make a call on an open connection."""
    connection.send(_encode(address, request), _accept_any_head)
    head = await connection.next_event()
    if not isinstance(head, message.ResponseHead):
        raise transport_errors.ConnectionBroken(f'{address}: no answer')
    body = bytearray()
    event = await connection.next_event()
    while isinstance(event, backend_connection.BodyChunk):
        body += event.body
        if len(body) > request.max_response_bytes:
            raise transport_errors.ConnectionBroken(
                f'{address}: the answer is over '
                f'{request.max_response_bytes} bytes long'
            )
        event = await connection.next_event()
    if event is not backend_connection.Ending.complete:
        raise transport_errors.ConnectionBroken(f'{address}: incomplete answer')
    return CallResponse(
        status=head.status, headers=head.headers, body=bytes(body)
    )


def _encode(address: str, request: Call) -> bytes:
    lines = [f'{request.method} {request.target} HTTP/1.1', f'Host: {address}']
    lines.extend(f'{name}: {text}' for name, text in request.headers)
    if request.body or request.method == 'POST':
        lines.append('Content-Type: application/json')
        lines.append(f'Content-Length: {len(request.body)}')
    return '\r\n'.join((*lines, '', '')).encode() + request.body


def _accept_any_head(_: message.ResponseHead) -> bool:
    return True
