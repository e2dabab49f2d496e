"""A client takes a stream up again whose events have large ids."""

import asyncio
import pathlib
import re
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'lab-2'))

import lab as labs

# Milliseconds of the time of day, as servers often number their events.
FIRST_ID = 1_770_000_000_000
STEP = 40
EVENTS = 20
INTERVAL_S = 0.15
# The machine is killed after so many events of the stream.
KILL_AFTER = 8
DEADLINE_MS = 12000
EVENT_ID = re.compile(rb'id: (\d+)\n')
INSTANCES = {'edge-a-1': 'zone-a', 'edge-b-1': 'zone-b'}
ALL_IDS = [FIRST_ID + STEP * number for number in range(EVENTS)]


class StreamWorker(labs.Worker):
    """A worker whose streams go on after `Last-Event-Id`."""

    async def _run(
        self, message: labs.Message, writer: asyncio.StreamWriter
    ) -> bool:
        request_id = message.headers.get('x-request-id', '')
        last = message.headers.get('last-event-id')
        self.record.add(
            f'{self.worker_id} runs {request_id}, Last-Event-Id {last}'
        )
        lines = [
            'HTTP/1.1 200 Told',
            f'X-Request-Id: {request_id}',
            f'X-Response-Signature: {self.worker_id}.{request_id}',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        ]
        writer.write('\r\n'.join((*lines, '', '')).encode())
        for event_id in ALL_IDS:
            if last is not None and event_id <= int(last):
                continue
            event = b'id: %d\ndata: word\n\n' % event_id
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(INTERVAL_S)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


async def read_stream(
    lab: labs.Lab,
    instance: labs.Instance,
    request_id: str,
    got: list[int],
    **headers: str,
) -> int:
    """Add the ids of the events that arrive; return the status, or 0."""
    lab.record.add(f'{request_id} sent to {instance.name} {headers}')
    try:
        reader, writer = await asyncio.open_connection(*instance.front)
    except OSError:
        lab.record.add(f'{request_id}: no connection')
        return 0
    sent = {
        'Host': labs.HOST,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': str(DEADLINE_MS),
        **headers,
    }
    status = 0
    try:
        writer.write(labs.encode('POST /draft/1 HTTP/1.1', sent))
        head = await reader.readuntil(b'\r\n\r\n')
        status = int(head.split(b' ')[1])
        while status == 200:
            size = int(await reader.readline(), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                lab.record.add(f'{request_id}: the stream ends as complete')
                return status
            got.extend(map(int, EVENT_ID.findall(chunk)))
    except (OSError, asyncio.IncompleteReadError, ValueError):
        lab.record.add(f'{request_id}: the stream breaks off, {len(got)} ids')
    finally:
        writer.close()
    lab.record.add(f'{request_id}: status {status}')
    return status


async def kill_later(instance: labs.Instance, got: list[int]) -> None:
    """Kill a machine in the middle of the stream."""
    while len(got) < KILL_AFTER:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    instance.send(signal.SIGKILL)


async def play(lab: labs.Lab) -> list[str]:
    """Return how the rule was broken."""
    worker = StreamWorker(lab.record, lab.store, 'i-words-1', 'words')
    await worker.start()
    lab.workers.append(worker)
    worker.register()
    routes = [
        labs.route(
            'draft',
            'words',
            'streaming',
            resumable=True,
            gap_target_ms=150,
            timeout_ms=DEADLINE_MS,
        )
    ]
    lab.configure(3, routes, [labs.backend('words')])
    first, second = await lab.start_instances(INSTANCES)
    await asyncio.sleep(3)
    got: list[int] = []
    killing = None
    if labs.trouble():
        killing = asyncio.ensure_future(kill_later(first, got))
    await read_stream(lab, first, 'r-1', got)
    if killing is not None:
        await killing
        await asyncio.sleep(0.3)
        # The page's way to go on after a broken connection.
        taken_up = {'Last-Event-Id': str(got[-1]), 'Resumes': 'r-1'}
        await read_stream(lab, second, 'r-2', got, **taken_up)
    lab.record.add(f'the client has {[known - FIRST_ID for known in got]}')
    twice = sorted({known for known in got if got.count(known) > 1})
    missing = [known for known in ALL_IDS if known not in got]
    broken: list[str] = []
    if twice:
        broken.append(f'{len(twice)} events came twice, the first: {twice[0]}')
    if missing and not twice:
        lab.record.add(f'{len(missing)} events did not come')
    return broken


labs.main(__file__, play)
