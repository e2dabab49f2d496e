"""Test that answers without end do not fill the memory of an instance."""

import asyncio
import contextlib
from types import SimpleNamespace

import endless_server
import pytest

from oatcrank import errors
from oatcrank.claims import permit
from oatcrank.entry import (
    answer_memory,
    dispatch_request,
    response_writer,
    service_dispatcher,
)

MEGABYTE = 1_048_576
# All answers together may use 8 MB.
MEMORY_MB = 32
MAX_USED_BYTES = 8 * MEGABYTE
CALLERS = 12


class Written(response_writer.ResponseWriter):
    """Keep what a caller gets."""

    def __init__(self) -> None:
        self.body = b''

    def write_head(self, status, content_type):
        """Ignore the head."""

    def write(self, chunk):
        self.body += chunk


def call_of(number):
    request = dispatch_request.ServiceRequest(
        service='plain',
        method='GET',
        path='/x',
        body=b'',
        content_type='text/plain',
        idempotency_key='',
        request_id=f'request-{number}',
        profile=SimpleNamespace(targets=SimpleNamespace(whole_answer_ms=2000)),
        fingerprint=number,
        arrived_at=0,
    )
    request.permit = permit.UnrestrictedPermit()
    return request


async def serve_sound(reader, writer):
    await reader.readuntil(b'\r\n\r\n')
    writer.write(endless_server.HEAD + b'Content-Length: 5\r\n\r\nsound')
    writer.close()


def new_dispatcher(answers):
    return service_dispatcher.ServiceDispatcher(
        servers=None,
        router=None,
        answers=answers,
        suspects=None,
        exclusive_runs=None,
        budget=None,
        clock=None,
        metrics=None,
    )


def listed(server):
    port = server.sockets[0].getsockname()[1]
    return SimpleNamespace(listed=SimpleNamespace(address=f'127.0.0.1:{port}'))


@pytest.mark.parametrize('head', endless_server.ENDLESS_HEADS)
def test_bodies_without_end_fill_the_memory_of_the_own_interface(head):
    """Before, each of them was kept up to a gigabyte."""

    async def run():
        answers = answer_memory.AnswerMemory(MEMORY_MB)
        dispatcher = new_dispatcher(answers)
        endless = await asyncio.start_server(
            lambda reader, writer: endless_server.serve_endless(
                head, reader, writer
            ),
            '127.0.0.1',
            0,
        )
        sound = await asyncio.start_server(serve_sound, '127.0.0.1', 0)
        used = []

        async def watch():
            while True:
                used.append(answers.used_bytes)
                await asyncio.sleep(0.01)

        async def ask_endless(number):
            with pytest.raises(errors.Interrupted):
                await dispatcher._send(
                    listed(endless), call_of(number), Written()
                )

        watching = asyncio.ensure_future(watch())
        async with asyncio.timeout(20), asyncio.TaskGroup() as group:
            for number in range(CALLERS):
                group.create_task(ask_endless(number))
            for number in range(CALLERS):
                written = Written()
                await dispatcher._send(
                    listed(sound), call_of(number + CALLERS), written
                )
                assert written.body == b'sound'
        watching.cancel()
        endless.close()
        sound.close()
        assert max(used) <= MAX_USED_BYTES
        assert not answers.used_bytes

    asyncio.run(run())


@pytest.mark.parametrize(
    ('sizes', 'given_up'),
    [
        ([1, 2, 3], []),
        ([4, 4], []),
        # The largest answer is given up, whoever adds the last byte.
        ([5, 3, 1], [0]),
        ([1, 3, 5], [2]),
        ([2, 2, 2, 3], [3]),
        ([9], [0]),
        ([9, 9], [0, 1]),
    ],
)
def test_a_sound_answer_is_given_up_for_one_without_end(sizes, given_up):
    memory = answer_memory.AnswerMemory(MEMORY_MB)
    answers = []
    for size in sizes:
        answer = memory.open()
        answers.append(answer)
        with contextlib.suppress(errors.Interrupted):
            answer.add(b'x' * (size * MEGABYTE))
    refused = []
    for number, answer in enumerate(answers):
        try:
            answer.add(b'')
        except errors.Interrupted:
            refused.append(number)
    assert refused == given_up
    assert memory.used_bytes == sum(map(len, answers))
    assert memory.used_bytes <= MAX_USED_BYTES
    for answer in answers:
        answer.close()
    assert not memory.used_bytes
