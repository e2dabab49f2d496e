"""Run one stand-in: its configuration, its port and its control paths."""

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
    """Decode JSON with comments, given as text or as the name of a file."""
    if not text.lstrip().startswith('{'):
        text = pathlib.Path(text).read_text(encoding='utf-8')
    return msgspec.convert(jsonc.loads(text), type=config_type)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add what every stand-in takes."""
    parser.add_argument('--port', type=int, default=0, help='0: any free one')
    parser.add_argument('--config', default='{}', help='JSON, or its file')


@contextlib.asynccontextmanager
async def listening(
    app: web.Application,
    port: int = 0,
) -> AsyncIterator[str]:
    """Listen and give the address as `ip:port`."""
    sockets = netutil.bind_sockets(port, HOST, backlog=BACKLOG)
    server = httpserver.HTTPServer(app, max_header_size=MAX_HEADER_BYTES)
    server.add_sockets(sockets)
    bound = sockets[0].getsockname()[1]
    try:
        yield f'{HOST}:{bound}'
    finally:
        server.stop()


async def serve(kind: str, app: web.Application, port: int) -> None:
    """Listen, say so on standard output, and serve until told to stop."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    async with listening(app, port) as address:
        sys.stdout.write(f'ready {kind} {address}\n')
        sys.stdout.flush()
        await stopped.wait()
