"""Test requests for the head of an answer alone."""

import forwarding_site
import pytest
import test_cut_answers as answers
import test_cut_relayed_answers as relayed

from emulator import scripted_answer

END = scripted_answer.ConnectionEnd
OK = b'HTTP/1.1 200 OK\r\n'
FRAMINGS = {
    'length': b'Content-Length: 28\r\n',
    'chunks': b'Transfer-Encoding: chunked\r\n',
    'none': b'',
}


async def ask_for_head(port: int) -> tuple[bytes, bytes]:
    """Return the head, and what follows it until the next answer."""
    caller = await forwarding_site.Caller.open(port)
    caller.writer.write(
        forwarding_site.request('HEAD', body=b'', x_deadline_ms='500')
        + forwarding_site.request(x_request_id='next')
    )
    try:
        head = await caller.reader.readuntil(b'\r\n\r\n')
        return head, await caller.reader.readuntil(b'HTTP/1.1')
    finally:
        caller.close()


@pytest.mark.parametrize('end', [END.kept, END.closed])
@pytest.mark.parametrize('stray', [b'', b'stray'])
@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('route', answers.ROUTES)
def test_a_head_is_waited_for_until_the_deadline(route, framing, stray, end):
    """The body that it describes does not come."""
    head = OK + answers.PLAIN + FRAMINGS[framing] + b'\r\n'

    async def work(site):
        (worker,) = site.workers
        worker.scripted_answers = [
            scripted_answer.ScriptedAnswer(head + stray, end)
        ]
        got, after = await ask_for_head(site.port)
        assert got.startswith(b'HTTP/1.1 200 ')
        assert b'X-Response-Signature: signed' in got
        assert after == b'HTTP/1.1'
        follower = await site.ask(x_request_id='last')
        assert (follower.status, follower.whole) == (200, True)

    forwarding_site.run(work, workers=1, **answers.ROUTES[route])


@pytest.mark.parametrize('framing', FRAMINGS)
def test_a_relayed_head_is_waited_for_until_the_deadline(framing):
    head = OK + answers.PLAIN + FRAMINGS[framing] + b'\r\n'

    async def work(site, peer):
        peer.scripted_answers = [scripted_answer.ScriptedAnswer(head)]
        got, after = await ask_for_head(site.port)
        assert got.startswith(b'HTTP/1.1 200 ')
        assert after == b'HTTP/1.1'

    relayed.relay(work, **answers.ONCE)
