"""Read many streams at once at a low CPU cost and print the figures."""

import argparse
import asyncio
import sys
import time

import msgspec

from emulator import completion_request

LAST_EVENT = b'data: [DONE]'
TOKEN_KEY = b'"index"'
CHUNK_BYTES = 65_536
PATH = '/v1/completions'


class RelayFigures(msgspec.Struct, kw_only=True):
    """Figures of all streams: tokens, cut streams, and times in seconds.

    first_s: times to the first token; whole_s: times to the end.
    """

    tokens: int = 0
    cut: int = 0
    first_s: list[float] = []
    whole_s: list[float] = []


async def read_stream(
    address: str,
    head: bytes,
    body: bytes,
    figures: RelayFigures,
) -> None:
    """Send one request and count the tokens of its answer."""
    host, port = address.split(':')
    started = time.monotonic()
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(head + body)
    first_s: float = 0
    tail = b''
    while LAST_EVENT not in tail:
        chunk = await reader.read(CHUNK_BYTES)
        if not chunk:
            figures.cut += 1
            break
        count = chunk.count(TOKEN_KEY)
        figures.tokens += count
        if count and not first_s:
            first_s = time.monotonic() - started
        tail = (tail + chunk)[-len(LAST_EVENT) * 2 :]
    writer.close()
    figures.first_s.append(first_s)
    figures.whole_s.append(time.monotonic() - started)


def main(arguments: list[str]) -> int:
    """Read the streams and print the figures as one line of JSON."""
    parser = argparse.ArgumentParser(prog='emulator relay-reader')
    parser.add_argument('--address', required=True)
    parser.add_argument('--streams', type=int, required=True)
    parser.add_argument('--tokens', type=int, required=True)
    parser.add_argument('--model', required=True)
    parser.add_argument('--profile', required=True)
    parser.add_argument('--seed', type=int, default=0)
    options = parser.parse_args(arguments)
    figures = RelayFigures()
    asyncio.run(_read_all(options, figures))
    sys.stdout.write(f'{msgspec.json.encode(figures).decode()}\n')
    return 0


async def _read_all(
    options: argparse.Namespace,
    figures: RelayFigures,
) -> None:
    streams = []
    for number in range(options.streams):
        body = msgspec.json.encode(
            completion_request.CompletionRequest(
                model=options.model,
                prompt=f'{options.seed} {number}',
                max_tokens=options.tokens,
                stream=True,
                request_id=f'{options.seed}-{number}',
            ),
        )
        head = (
            f'POST {PATH} HTTP/1.1\r\nHost: {options.address}\r\n'
            f'X-Oatcrank-Profile: {options.profile}\r\n'
            f'Connection: close\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        streams.append(
            read_stream(options.address, head.encode(), body, figures),
        )
    await asyncio.gather(*streams)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
