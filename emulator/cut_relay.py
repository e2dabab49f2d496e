"""Relay TCP to one process until the way to it is cut."""

import asyncio

from emulator import stand_in

CHUNK_BYTES = 65_536


class CutRelay:
    """Stand between one process and a service that it uses."""

    def __init__(self, behind: str) -> None:
        """Relay to `ip:port`, once started."""
        self.address = ''
        self._behind = behind
        self._is_cut = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server

    async def start(self) -> None:
        """Listen at a free port, told by address."""
        self._server = await asyncio.start_server(self._relay, stand_in.HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{stand_in.HOST}:{port}'

    def cut(self) -> None:
        """Break every connection and every new one."""
        self._is_cut = True
        for writer in self._writers:
            writer.transport.abort()

    def join(self) -> None:
        """Relay new connections again."""
        self._is_cut = False

    def close(self) -> None:
        """Relay nothing more."""
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
        host, port = self._behind.split(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self._writers |= ends
        try:
            await asyncio.gather(
                self._copy(reader, far_writer), self._copy(far_reader, writer)
            )
        finally:
            self._writers -= ends

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
