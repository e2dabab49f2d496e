"""Answers of a faulty worker, byte for byte as a test writes them."""

import asyncio
import enum
import socket
import struct

import msgspec

# struct linger: enabled, 0 seconds.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
ID_FIELD = b'{id}'


class ConnectionEnd(enum.Enum):
    """What happens to the connection after an answer."""

    kept = 'it stays open for the next request'
    closed = 'it is closed'
    reset = 'it is reset'


class ScriptedAnswer(msgspec.Struct, frozen=True):
    """Bytes of an answer; {id} stands for the id of the request."""

    template: bytes
    end: ConnectionEnd = ConnectionEnd.kept

    async def send(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        """Send the answer; return whether the connection stays open."""
        writer.write(self.template.replace(ID_FIELD, request_id.encode()))
        await writer.drain()
        if self.end is ConnectionEnd.reset:
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        return self.end is ConnectionEnd.kept
