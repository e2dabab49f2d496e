"""Read the requests of the stand-in for a platform worker."""

import asyncio
import time

import msgspec

from emulator import platform_answer_mode, platform_worker_answers


class ReceivedRequest(msgspec.Struct):
    """Request as a worker read it, at a monotonic time in seconds.

    limit_per_s is the limit that the worker named then, leaving whether it
    said that it leaves, retry_after what it turned the request away with.
    """

    method: str
    target: str
    header_by_name: platform_worker_answers.Headers
    body: bytes
    received_s: float = msgspec.field(default_factory=time.monotonic)
    limit_per_s: float | None = None
    leaving: bool = False
    retry_after: str = ''


def accepted_mode(
    request: ReceivedRequest,
) -> platform_answer_mode.AnswerMode:
    """Return the mode of the answer that a request accepts."""
    accepted = request.header_by_name.get('accept', '')
    if 'event-stream' in accepted:
        return platform_answer_mode.AnswerMode.stream
    return platform_answer_mode.AnswerMode.whole


def shared_parts(request: ReceivedRequest) -> list[str]:
    """Return the ids of the parts of a prompt, without the last one."""
    parts = request.header_by_name.get('x-prompt-prefix', '').split(',')
    return [part.partition(':')[0] for part in parts[:-1]]


async def read_request(
    reader: asyncio.StreamReader,
) -> ReceivedRequest | None:
    """Read a request; None if the connection has ended before it."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(' ')
    header_by_name: platform_worker_answers.Headers = {}
    line = await reader.readline()
    while line.strip():
        name, _, text = line.decode().partition(':')
        header_by_name[name.lower()] = text.strip()
        line = await reader.readline()
    length = int(header_by_name.get('content-length', '0'))
    body = await reader.readexactly(length)
    return ReceivedRequest(method, target, header_by_name, body)
