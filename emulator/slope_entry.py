"""Run an entry instance that counts the bytes of its connections."""

import argparse
import asyncio
import collections
import pathlib
import signal
import sys
from typing import Any

import msgspec
from tornado import httpclient, iostream, simple_httpclient

from emulator import slope_counts
from oatcrank import logs
from oatcrank.commands import checked_file
from oatcrank.entry import entry_instance
from oatcrank.settings import settings, settings_check


class ByteCount:
    """Count what every stream and every call of this process moves."""

    def __init__(self) -> None:
        """Start at nothing."""
        self.bytes_in = 0
        self.bytes_out = 0
        self.calls: collections.Counter[str] = collections.Counter()

    def install(self) -> None:
        """Count from now on; only for a process that is measured."""
        read = iostream.IOStream.read_from_fd
        write = iostream.IOStream.write_to_fd
        fetch = simple_httpclient.SimpleAsyncHTTPClient.fetch_impl

        def counted_read(stream: Any, into: Any) -> int | None:
            moved = read(stream, into)
            self.bytes_in += moved or 0
            return moved

        def counted_write(stream: Any, found: memoryview) -> int:
            moved = write(stream, found)
            self.bytes_out += moved
            return moved

        def counted_fetch(
            client: Any, request: httpclient.HTTPRequest, callback: Any
        ) -> None:
            parts = request.url.split('/')
            self.calls['/'.join(parts[3:5])] += 1
            fetch(client, request, callback)

        stream_type: Any = iostream.IOStream
        stream_type.read_from_fd = counted_read
        stream_type.write_to_fd = counted_write
        client_type: Any = simple_httpclient.SimpleAsyncHTTPClient
        client_type.fetch_impl = counted_fetch


def main() -> None:
    """Serve until told to stop; SIGUSR1 writes the counts to a file."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--settings', required=True)
    parser.add_argument('--counts', type=pathlib.Path, required=True)
    options = parser.parse_args()
    count = ByteCount()
    count.install()
    chosen = checked_file.read(
        options.settings, settings.Settings, settings_check.faults
    ).unwrap()
    logs.start(chosen.instance_id)
    asyncio.run(_serve(chosen, count, options.counts))


async def _serve(
    chosen: settings.Settings,
    count: ByteCount,
    path: pathlib.Path,
) -> None:
    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    instance = entry_instance.EntryInstance(chosen)
    await instance.start()

    def write() -> None:
        counts = slope_counts.SlopeCounts(
            bytes_in=count.bytes_in,
            bytes_out=count.bytes_out,
            calls_by_path=dict(count.calls),
            history=instance.platform.changes.history,
        )
        part = path.with_suffix('.part')
        part.write_bytes(msgspec.json.encode(counts))
        part.rename(path)

    loop.add_signal_handler(signal.SIGUSR1, write)
    loop.add_signal_handler(signal.SIGTERM, told.set)
    sys.stdout.write(f'ready entry {chosen.address}\n')
    sys.stdout.flush()
    await told.wait()


if __name__ == '__main__':
    main()
