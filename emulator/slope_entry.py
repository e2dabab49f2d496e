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


class TrafficCounter:
    """Counter of the bytes and outgoing HTTP calls of this process."""

    def __init__(self) -> None:
        """Start at zero."""
        self.bytes_in = 0
        self.bytes_out = 0
        self.calls: collections.Counter[str] = collections.Counter()

    def install(self) -> None:
        """Patch tornado to count; only for a process that is measured."""
        read = iostream.IOStream.read_from_fd
        write = iostream.IOStream.write_to_fd
        fetch = simple_httpclient.SimpleAsyncHTTPClient.fetch_impl

        def counted_read(stream: Any, buffer: Any) -> int | None:
            count = read(stream, buffer)
            self.bytes_in += count or 0
            return count

        def counted_write(stream: Any, buffer: memoryview) -> int:
            count = write(stream, buffer)
            self.bytes_out += count
            return count

        def counted_fetch(
            client: Any, request: httpclient.HTTPRequest, callback: Any
        ) -> None:
            segments = request.url.split('/')
            self.calls['/'.join(segments[3:5])] += 1
            fetch(client, request, callback)

        stream_type: Any = iostream.IOStream
        stream_type.read_from_fd = counted_read
        stream_type.write_to_fd = counted_write
        client_type: Any = simple_httpclient.SimpleAsyncHTTPClient
        client_type.fetch_impl = counted_fetch


def main() -> None:
    """Serve until SIGTERM; SIGUSR1 writes the counts to a file."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--settings', required=True)
    parser.add_argument('--counts', type=pathlib.Path, required=True)
    options = parser.parse_args()
    counter = TrafficCounter()
    counter.install()
    entry_settings = checked_file.read(
        options.settings, settings.Settings, settings_check.find_problems
    ).unwrap()
    logs.start(entry_settings.instance_id)
    asyncio.run(_serve(entry_settings, counter, options.counts))


async def _serve(
    entry_settings: settings.Settings,
    counter: TrafficCounter,
    path: pathlib.Path,
) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    instance = entry_instance.EntryInstance(entry_settings)
    await instance.start()

    def write_counts() -> None:
        counts = slope_counts.SlopeCounts(
            bytes_in=counter.bytes_in,
            bytes_out=counter.bytes_out,
            calls_by_path=dict(counter.calls),
            history=instance.platform.change_log.history,
        )
        partial = path.with_suffix('.part')
        partial.write_bytes(msgspec.json.encode(counts))
        partial.rename(path)

    loop.add_signal_handler(signal.SIGUSR1, write_counts)
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    sys.stdout.write(f'ready entry {entry_settings.address}\n')
    sys.stdout.flush()
    await stop_requested.wait()


if __name__ == '__main__':
    main()
