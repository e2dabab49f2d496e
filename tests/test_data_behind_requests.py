"""Test that data behind a request does not disturb its connection.

Load pattern: callers send an empty line after a request, or the next request
while the answer to one is written.
"""

import asyncio

import forwarding_site
import pytest

from oatcrank.transport import limits

EMPTY_LINE = b'\r\n'
HEADER_TIMEOUT_S = 0.2
TALK = {'streaming': True}
STOP_S = 5.0


@pytest.mark.parametrize('delay_s', [0, 0.05])
def test_an_empty_line_is_taken_for_the_begin_of_a_request(delay_s):
    async def work(site):
        site.limits = limits.Limits(header_timeout_s=HEADER_TIMEOUT_S)
        caller = await forwarding_site.Caller.open(site.port)
        answer = await caller.ask(forwarding_site.request())
        await asyncio.sleep(delay_s)
        caller.writer.write(EMPTY_LINE)
        await asyncio.sleep(2 * HEADER_TIMEOUT_S)
        busy = [connection.busy for connection in site.open_connections]
        again = await caller.ask(forwarding_site.request(x_request_id='next'))
        caller.close()
        assert (answer.status, again.status) == (200, 200)
        assert busy == [False]

    forwarding_site.run(work)


def test_continue_is_written_into_the_answer_before_it():
    async def work(site):
        for worker in site.workers:
            worker.event_delay_s = 0.1
        first = forwarding_site.request()
        head, body = forwarding_site.request(
            x_request_id='next', expect='100-continue'
        ).split(b'\r\n\r\n')
        caller = await forwarding_site.Caller.open(site.port)
        caller.writer.write(first)
        await asyncio.sleep(0.15)
        caller.writer.write(head + b'\r\n\r\n')
        answer = await caller.read()
        assert (answer.whole, answer.body) == (True, forwarding_site.EVENTS)
        line = await asyncio.wait_for(caller.reader.readline(), 1)
        assert line == b'HTTP/1.1 100 Continue\r\n'
        await caller.reader.readline()
        again = await caller.ask(body)
        caller.close()
        assert (again.status, again.body) == (200, forwarding_site.EVENTS)

    forwarding_site.run(work, **TALK)


def test_a_request_behind_a_stream_gets_no_answer_in_a_stop():
    async def work(site):
        for worker in site.workers:
            worker.event_delay_s = 0.1
        now_s = asyncio.get_running_loop().time()
        site.forwarder.leave(now_s + STOP_S, now_s + STOP_S)
        caller = await forwarding_site.Caller.open(site.port)
        caller.writer.write(forwarding_site.request())
        await asyncio.sleep(0.2)
        caller.writer.write(forwarding_site.request(x_request_id='next'))
        answers = [await caller.read(), await caller.read()]
        caller.close()
        assert [answer.status for answer in answers] == [200, 200]
        assert all(answer.whole for answer in answers)

    forwarding_site.run(work, **TALK)
