"""Exchange datagrams with other instances."""

import asyncio
from collections.abc import Callable
from typing import Any

from oatcrank import logs
from oatcrank.cluster import datagram_messages

Handler = Callable[[Any, str], None]


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Send datagrams, and pass received ones to handlers by message type."""

    def __init__(self) -> None:
        """Create an endpoint that doesn't listen yet."""
        self._handler_by_type: dict[type, Handler] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def set_handler(self, message_type: type, handler: Handler) -> None:
        """Call handler(message, sender address) for messages of a type."""
        self._handler_by_type[message_type] = handler

    async def start(self, address: str) -> None:
        """Listen for datagrams at `ip:port`."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self,
            local_addr=_host_and_port(address),
        )

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: datagram_messages.Datagram, address: str) -> None:
        """Send a message to `ip:port`; it may be lost."""
        if self._transport is not None:
            self._transport.sendto(
                datagram_messages.encode(message), _host_and_port(address)
            )

    # asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start sending and receiving."""
        self._transport = transport  # type: ignore

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop sending."""
        self._transport = None

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram was not delivered."""
        logs.event('datagram_lost', error=repr(exc))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a message to its handler."""
        try:
            message = datagram_messages.decode(data)
        except datagram_messages.Malformed as error:
            logs.event('datagram_malformed', peer=addr[0], error=error)
            return
        handler = self._handler_by_type.get(type(message))
        if handler is not None:
            handler(message, f'{addr[0]}:{addr[1]}')


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
