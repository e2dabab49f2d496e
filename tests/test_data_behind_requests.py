"""Test that data behind a request does not disturb its connection.

Load pattern: callers send the next request while the answer to one is written.
"""

import asyncio

import forwarding_site

TALK = {'streaming': True}


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
