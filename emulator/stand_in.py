"""Configuration and HTTP server of a stand-in process."""

import argparse
import asyncio
import contextlib
import pathlib
import signal
import sys
from collections.abc import AsyncIterator
from typing import TypeVar

import jsonc
import msgspec
from tornado import httpserver, netutil, web

HOST = '127.0.0.1'
MAX_HEADER_BYTES = 65_536
BACKLOG = 1024

Config = TypeVar('Config')


def parse_config(text: str, config_type: type[Config]) -> Config:
    """Decode JSON with comments, given as text or as a file name."""
    if not text.lstrip().startswith('{'):
        text = pathlib.Path(text).read_text(encoding='utf-8')
    return msgspec.convert(jsonc.loads(text), type=config_type)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of every stand-in."""
    parser.add_argument('--port', type=int, default=0, help='0: any free one')
    parser.add_argument('--config', default='{}', help='JSON, or its file')


@contextlib.asynccontextmanager
async def listening(
    app: web.Application,
    port: int = 0,
) -> AsyncIterator[str]:
    """Listen while the context is open; yields the address as `ip:port`."""
    sockets = netutil.bind_sockets(port, HOST, backlog=BACKLOG)
    server = httpserver.HTTPServer(app, max_header_size=MAX_HEADER_BYTES)
    server.add_sockets(sockets)
    bound_port = sockets[0].getsockname()[1]
    try:
        yield f'{HOST}:{bound_port}'
    finally:
        server.stop()


async def serve(kind: str, app: web.Application, port: int) -> None:
    """Serve until SIGTERM or SIGINT; prints a line once it listens."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    async with listening(app, port) as address:
        sys.stdout.write(f'ready {kind} {address}\n')
        sys.stdout.flush()
        await stop_requested.wait()
