"""Relay TCP connections and simulate network failures."""

import asyncio

from emulator import stand_in

CHUNK_BYTES = 65_536


class CutRelay:
    """TCP relay between a process and a service that it uses."""

    def __init__(self, target: str) -> None:
        """Create a relay to `ip:port`."""
        self.address = ''
        self._target = target
        self._is_cut = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server

    async def start(self) -> None:
        """Listen on a free port and set address."""
        self._server = await asyncio.start_server(self._relay, stand_in.HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{stand_in.HOST}:{port}'

    def cut(self) -> None:
        """Abort all connections, including new ones."""
        self._is_cut = True
        for writer in self._writers:
            writer.transport.abort()

    def restore(self) -> None:
        """Accept new connections again."""
        self._is_cut = False

    def close(self) -> None:
        """Abort all connections and stop listening."""
        self.cut()
        self._server.close()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._is_cut:
            writer.transport.abort()
            return
        host, port = self._target.split(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, port
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
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self._is_cut:
                    break
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        finally:
            writer.close()
