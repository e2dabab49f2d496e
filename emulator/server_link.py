"""Relay the connections of one instance to one server, and cut them."""

import asyncio
import enum
import socket

from emulator import stand_in

CHUNK_BYTES = 65_536
BACKLOG = 100
# A queue of length 0 holds one connection; further ones are not answered.
FILLING_CONNECTIONS = 2


class Cut(enum.Enum):
    """What becomes of connections."""

    reset = 'open ones are reset and new ones refused'
    refuse = 'open ones live on and new ones are refused'
    silent = 'open ones hang and new ones are not answered'


class ServerLink:
    """Path of connections from one instance to one server."""

    def __init__(self, target_port: int) -> None:
        """Listen on a free port."""
        self._target_port = target_port
        self._passes = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._filling: list[socket.socket] = []
        self._listening: asyncio.Server | None = None
        self._sock = _bind(0)
        self.port = self._sock.getsockname()[1]

    async def open(self) -> None:
        """Let connections pass, at first or after a cut."""
        for filling in self._filling:
            filling.close()
        self._filling.clear()
        self._passes.set()
        self._listening = await asyncio.start_server(
            self._relay, sock=self._sock, backlog=BACKLOG
        )

    def cut(self, kind: Cut) -> None:
        """Cut all connections."""
        if self._listening is not None:
            self._listening.close()
        self._sock = _bind(self.port)
        if kind is Cut.reset:
            self._abort()
        elif kind is Cut.silent:
            self._passes.clear()
            self._fill()

    def close(self) -> None:
        """End all connections for good."""
        if self._listening is not None:
            self._listening.close()
        self._sock.close()
        self._abort()

    def _abort(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    def _fill(self) -> None:
        """Leave new connections without an answer."""
        self._sock.listen(0)
        for _ in range(FILLING_CONNECTIONS):
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex((stand_in.HOST, self.port))
            self._filling.append(filling)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                stand_in.HOST, self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        connection_writers = {writer, target_writer}
        self._writers |= connection_writers
        try:
            await asyncio.gather(
                self._copy(reader, target_writer),
                self._copy(target_reader, writer),
            )
        finally:
            self._writers -= connection_writers

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._passes.wait()
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        finally:
            writer.close()


def _bind(port: int) -> socket.socket:
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((stand_in.HOST, port))
    bound.setblocking(False)
    return bound
