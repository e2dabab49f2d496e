"""Test that a stop gives up all requests without an answer, and only those.

Load pattern: when they are given up, other requests reach their deadlines and
streams of others begin.
"""

import asyncio

import pytest

from oatcrank.forwarding import refusal, unanswered_requests

REQUESTS = 20
DEADLINE_S = 0.05
LONG_S = 0.5


class Out:
    """Answer of which only the begin matters."""

    def __init__(self) -> None:
        self.started = False


async def limited_work(unanswered, out, deadline_s, work) -> str:
    """Return how work on a request ends."""
    try:
        async with unanswered.limit(out, deadline_s):
            await work
    except TimeoutError:
        return 'timeout'
    except refusal.InstanceStopping:
        return 'given up'
    except asyncio.CancelledError:
        return 'cancelled'
    return 'done'


async def begin(out, event) -> None:
    """Begin an answer after an event, and end it later."""
    await event.wait()
    out.started = True
    await asyncio.sleep(DEADLINE_S)


def test_a_request_at_its_deadline_keeps_others_from_being_given_up():
    async def work():
        loop = asyncio.get_running_loop()
        unanswered = unanswered_requests.UnansweredRequests()
        ends_s = loop.time() + DEADLINE_S
        tasks = [
            asyncio.ensure_future(
                limited_work(
                    unanswered,
                    Out(),
                    ends_s if number % 2 else None,
                    asyncio.sleep(LONG_S),
                )
            )
            for number in range(REQUESTS)
        ]
        await asyncio.sleep(0)
        loop.call_at(ends_s, unanswered.give_up)
        return await asyncio.gather(*tasks)

    endings = asyncio.run(work())
    assert set(endings[::2]) == {'given up'}
    assert set(endings[1::2]) <= {'given up', 'timeout'}


def test_a_stream_begins_and_is_given_up_at_once():
    async def work():
        unanswered = unanswered_requests.UnansweredRequests()
        out = Out()
        event = asyncio.Event()
        task = asyncio.ensure_future(
            limited_work(unanswered, out, None, begin(out, event))
        )
        await asyncio.sleep(0)
        event.set()
        unanswered.give_up()
        ending = await task
        return out.started, ending

    assert asyncio.run(work()) in {(False, 'given up'), (True, 'done')}


@pytest.mark.parametrize('leaves_first', [True, False])
def test_a_caller_that_leaves_is_taken_for_a_request_that_is_given_up(
    leaves_first,
):
    async def work():
        unanswered = unanswered_requests.UnansweredRequests()
        task = asyncio.ensure_future(
            limited_work(unanswered, Out(), None, asyncio.sleep(LONG_S))
        )
        await asyncio.sleep(0)
        actions = [task.cancel, unanswered.give_up]
        for action in actions if leaves_first else reversed(actions):
            action()
        return await task

    assert asyncio.run(work()) == 'cancelled'
