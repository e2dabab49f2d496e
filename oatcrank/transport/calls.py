"""Make single calls to other processes."""

import asyncio

import msgspec

from oatcrank import errors
from oatcrank.transport import backend_connection, message
from oatcrank.transport import errors as transport_errors

CONNECT_S = 1.0


class Called(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the answer to a call."""

    status: int
    headers: message.Headers
    body: bytes


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a call; the body is JSON."""

    method: str
    target: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()


async def call(address: str, one: Call, within_s: float) -> Called:
    """Make a call on a connection of its own.

    Raises errors.NotStarted if nothing was sent, errors.Interrupted if the
    call may have been carried out.
    """
    host, _, port = address.rpartition(':')
    connection = await backend_connection.connect(
        host,
        int(port),
        min(CONNECT_S, within_s),
    )
    try:
        async with asyncio.timeout(within_s):
            return await exchange(connection, address, one)
    except TimeoutError as error:
        raise errors.Interrupted(f'{address}: no answer in time') from error
    finally:
        connection.close()


async def exchange(
    connection: backend_connection.BackendConnection,
    address: str,
    one: Call,
) -> Called:
    """Make a call on an open connection."""
    connection.send(_encoded(address, one), _anything)
    head = await connection.next_event()
    if not isinstance(head, message.ResponseHead):
        raise transport_errors.Broken(f'{address}: no answer')
    body = bytearray()
    event = await connection.next_event()
    while isinstance(event, backend_connection.Piece):
        body += event.body
        event = await connection.next_event()
    if event is not backend_connection.Ending.complete:
        raise transport_errors.Broken(f'{address}: the answer broke off')
    return Called(status=head.status, headers=head.headers, body=bytes(body))


def _encoded(address: str, one: Call) -> bytes:
    lines = [f'{one.method} {one.target} HTTP/1.1', f'Host: {address}']
    lines.extend(f'{name}: {text}' for name, text in one.headers)
    if one.body or one.method == 'POST':
        lines.append('Content-Type: application/json')
        lines.append(f'Content-Length: {len(one.body)}')
    return '\r\n'.join((*lines, '', '')).encode() + one.body


def _anything(_: message.ResponseHead) -> bool:
    return True
