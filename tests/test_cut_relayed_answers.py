"""Test answers that break off on their way from another instance."""

import asyncio

import forwarding_site
import pytest
import routing_parts
import test_cut_answers as answers

from emulator import platform_worker, scripted_answer

END = scripted_answer.ConnectionEnd


def relay(work, **route_changes):
    """Run an instance without servers and a stand-in for another one."""

    async def run_both():
        site = forwarding_site.Site(workers=1, **route_changes)
        peer = platform_worker.Worker('peer')
        await site.start()
        await peer.start()
        site.peer_addresses = [f'127.0.0.1:{peer.port}']
        links = site.links.of_service(routing_parts.SERVICE)
        links.record_probe(reached=0, probed=2, now_s=0)
        try:
            await work(site, peer)
        finally:
            await site.stop()
            await peer.stop()

    asyncio.run(run_both())


async def ask(site, peer, template: bytes, end: END):
    peer.scripted_answers = [scripted_answer.ScriptedAnswer(template, end)]
    answer = await site.ask(x_deadline_ms='300')
    assert not peer.scripted_answers
    return answer


@pytest.mark.parametrize('end', answers.CUTS)
@pytest.mark.parametrize('frame', answers.FRAMINGS)
@pytest.mark.parametrize('route', answers.ROUTES)
def test_a_relayed_answer_cut_at_any_byte_looks_whole(route, frame, end):
    """An instance never ends an answer with its connection."""
    template = answers.whole_answer(route, frame, b'')

    async def work(site, peer):
        for cut, _ in enumerate(template):
            got = await ask(site, peer, template[:cut], end)
            assert (
                not got.whole
                or got.status in {502, 504}
                or got.body == answers.whole_body(route)
            ), cut

    relay(work, **answers.ROUTES[route])


@pytest.mark.parametrize(
    'frame', [answers.length, answers.chunked, answers.with_trailer]
)
@pytest.mark.parametrize('route', answers.ROUTES)
def test_a_whole_relayed_answer_is_forwarded(route, frame):
    template = answers.whole_answer(route, frame, answers.INTERIM)

    async def work(site, peer):
        got = await ask(site, peer, template, END.closed)
        assert (got.status, got.whole) == (200, True)
        assert got.body == answers.whole_body(route)

    relay(work, **answers.ROUTES[route])
