"""Test whole exchanges: callers, the forwarder, and workers that fail."""

import asyncio

import forwarding_site
import pytest
import routing_parts

from emulator import platform_worker
from oatcrank.forwarding import placement_requester
from oatcrank.routing import need

MANNER = platform_worker.Manner
EVENTS = b''.join(b'id: %d\ndata: word%d\n\n' % (n, n) for n in range(1, 5))

FULL = tuple(MANNER.full for _ in range(20))
IDEMPOTENT = {'repeatable': True}
ONCE = {'repeatable': False, 'max_servers': 1}
STREAM = {'repeatable': True, 'streaming': True}
STREAM_ONCE = {'repeatable': False, 'streaming': True, 'max_servers': 1}


@pytest.mark.parametrize(
    ('kind', 'manners', 'status', 'body', 'runs'),
    [
        # What may run more than once goes to a second server.
        (IDEMPOTENT, [MANNER.whole], 200, b'whole', 1),
        (IDEMPOTENT, [MANNER.truncated], 200, b'whole', 2),
        (IDEMPOTENT, [MANNER.reset], 200, b'whole', 2),
        (IDEMPOTENT, [MANNER.garbage], 200, b'whole', 2),
        (IDEMPOTENT, [MANNER.unsigned], 200, b'whole', 2),
        (IDEMPOTENT, [MANNER.failure], 200, b'whole', 2),
        (IDEMPOTENT, [MANNER.full], 200, b'whole', 1),
        (IDEMPOTENT, [MANNER.other], 200, b'whole', 1),
        # When both fail, the failure is the server's own.
        (IDEMPOTENT, [MANNER.failure, MANNER.failure], 500, b'failed', 2),
        (IDEMPOTENT, [MANNER.reset, MANNER.reset], 502, b'', 2),
        (IDEMPOTENT, [MANNER.reset, MANNER.full], 200, b'whole', 2),
        (IDEMPOTENT, [MANNER.reset, *FULL], 502, b'', 1),
        # Servers that declined don't count as servers of its own.
        (
            IDEMPOTENT,
            [MANNER.full, MANNER.full, MANNER.reset],
            200,
            b'whole',
            2,
        ),
        (IDEMPOTENT, FULL, 503, b'', 0),
        (ONCE, FULL, 503, b'', 0),
        # What may run once runs once, and no refusal claims otherwise.
        (ONCE, [MANNER.whole], 200, b'whole', 1),
        (ONCE, [MANNER.failure], 500, b'failed', 1),
        (ONCE, [MANNER.truncated], 502, b'', 1),
        (ONCE, [MANNER.reset], 502, b'', 1),
        (ONCE, [MANNER.garbage], 502, b'', 1),
        (ONCE, [MANNER.unsigned], 502, b'', 1),
        # Other answers on the connection are never taken for its own.
        (ONCE, [MANNER.doubled], 200, b'whole', 1),
        (ONCE, [MANNER.late_first], 200, b'whole', 1),
        (ONCE, [MANNER.unframed], 200, b'whole', 1),
        # Streams.
        (STREAM, [MANNER.stream], 200, EVENTS, 1),
        (STREAM, [MANNER.half_stream, MANNER.stream], 200, EVENTS, 2),
        (STREAM, [MANNER.reset, MANNER.stream], 200, EVENTS, 2),
        (STREAM_ONCE, [MANNER.stream], 200, EVENTS, 1),
        (STREAM_ONCE, [MANNER.reset], 502, b'', 1),
    ],
)
def test_answers(kind, manners, status, body, runs):
    async def work(site):
        shared = list(manners)
        for worker in site.workers:
            worker.manners = shared
        told = await site.ask()
        assert (told.status, told.body, told.whole) == (status, body, True)
        assert site.runs() == runs

    forwarding_site.play(work, **kind)


def test_a_stream_that_may_not_go_on_ends_visibly_incomplete():
    async def work(site):
        for worker in site.workers:
            worker.manner = MANNER.half_stream
        told = await site.ask()
        assert told.status == 200
        assert not told.whole
        assert EVENTS.startswith(told.body)
        assert site.runs() == 1

    forwarding_site.play(work, **STREAM_ONCE)


def test_a_refusal_says_when_to_come_back():
    async def work(site):
        for worker in site.workers:
            await worker.stop()
        told = await site.ask()
        assert told.status == 503
        assert float(told.header_by_name['retry-after']) > 0
        assert site.runs() == 0

    forwarding_site.play(work, **ONCE)


def test_the_answer_bears_the_servers_headers():
    async def work(site):
        told = await site.ask()
        signature = told.header_by_name['x-response-signature']
        assert signature.startswith('signed-by-server-')
        assert told.header_by_name['x-request-id'] == 'request-1'

    forwarding_site.play(work)


def test_what_only_the_system_may_tell_a_server_is_not_passed_on():
    async def work(site):
        await site.ask(
            x_hold='7',
            x_pin_ms='100',
            x_expected_instance='forged',
            x_request_priority='0',
            x_kv_backup='10.0.0.1:1',
            kv_from='10.0.0.1:1/2',
            x_other='kept',
        )
        (seen,) = (one for worker in site.workers for one in worker.seen)
        names = seen.header_by_name
        assert not names.keys() & {'x-hold', 'x-pin-ms', 'x-kv-backup'}
        assert 'kv-from' not in names
        assert names['x-expected-instance'] in {'server-0', 'server-1'}
        assert names['x-other'] == 'kept'
        assert 0 < int(names['x-deadline-ms']) <= 2000
        assert (seen.method, seen.target) == ('POST', '/words/x')
        assert seen.body == b'hello'

    forwarding_site.play(work)


def test_the_callers_body_in_chunks_arrives_whole():
    async def work(site):
        text = (
            b'POST /words/x HTTP/1.1\r\nHost: words.example\r\n'
            b'X-Request-Id: request-1\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n'
        )
        assert (await site.ask(text)).status == 200
        (seen,) = (one for worker in site.workers for one in worker.seen)
        assert seen.body == b'hello'

    forwarding_site.play(work)


@pytest.mark.parametrize(
    ('target', 'host', 'status'),
    [
        ('/elsewhere/x', 'words.example', 404),
        ('/words/x', 'nobody.example', 404),
        ('/words/x', 'words.example:80', 200),
    ],
)
def test_routes(target, host, status):
    async def work(site):
        text = forwarding_site.request(target=target).replace(
            b'Host: words.example',
            b'Host: ' + host.encode(),
        )
        assert (await site.ask(text)).status == status

    forwarding_site.play(work)


def test_before_any_configuration_callers_are_asked_to_come_back():
    async def work(site):
        site.routes.configuration = None
        told = await site.ask()
        assert told.status == 503
        assert 'retry-after' in told.header_by_name

    forwarding_site.play(work)


@pytest.mark.parametrize('kind', [IDEMPOTENT, ONCE, STREAM_ONCE])
def test_a_silent_server_is_answered_for_at_the_time_limit(kind):
    async def work(site):
        for worker in site.workers:
            worker.manner = MANNER.silent
        began_s = asyncio.get_running_loop().time()
        told = await site.ask(x_deadline_ms='5000')
        took_s = asyncio.get_running_loop().time() - began_s
        assert told.status == 504
        assert 0.5 <= took_s < 0.9

    forwarding_site.play(work, **{**kind, 'timeout_s': 0.5})


def test_when_the_caller_leaves_its_servers_work_ends():
    async def work(site):
        for worker in site.workers:
            worker.pause_s = 5.0
        caller = await forwarding_site.Caller.open(site.port)
        caller.writer.write(forwarding_site.request())
        await asyncio.sleep(0.1)
        assert site.runs() == 1
        caller.close()
        await asyncio.sleep(0.1)
        assert all(one.in_flight == 0 for one in site.servers.by_id.values())

    forwarding_site.play(work)


def test_connections_are_kept_for_the_next_requests():
    async def work(site):
        caller = await forwarding_site.Caller.open(site.port)
        for number in range(6):
            text = forwarding_site.request(x_request_id=f'request-{number}')
            assert (await caller.ask(text)).status == 200
        caller.close()
        assert sum(worker.connections for worker in site.workers) <= 2

    forwarding_site.play(work)


def test_what_follows_an_answer_spoils_its_connection():
    async def work(site):
        (worker,) = site.workers
        worker.manners = [MANNER.doubled]
        for number in range(3):
            told = await site.ask(x_request_id=f'request-{number}')
            assert told.header_by_name['x-request-id'] == f'request-{number}'
        assert worker.connections == 2

    forwarding_site.play(work, workers=1)


def test_a_dead_server_is_left_out_at_once():
    async def work(site):
        await site.workers[0].stop()
        for number in range(20):
            told = await site.ask(x_request_id=f'request-{number}')
            assert told.status == 200

    forwarding_site.play(work, **ONCE)


def test_a_request_that_crashes_servers_is_refused_after_some():
    async def work(site):
        for round_number in range(6):
            for number, worker in enumerate(site.workers):
                worker.manner = MANNER.reset
                site.servers.by_id[f'server-{number}'].begin_trial(0)
            text = forwarding_site.request(
                x_request_id=f'request-{round_number}',
            )
            asking = asyncio.ensure_future(site.ask(text))
            await asyncio.sleep(0.02)
            for worker in site.workers:
                await worker.stop()
            told = await asking
            await asyncio.sleep(0.2)
            for worker in site.workers:
                await worker.start(worker.port)
        runs = site.runs()
        told = await site.ask()
        assert told.status == 503
        assert site.runs() == runs
        assert site.told_crashes

    forwarding_site.play(work, **ONCE)


def test_a_model_that_no_server_holds_is_requested():
    wanted = need.Need(routing_parts.SERVICE, 'words-large', 'a1')

    async def work(site):
        def load(wish):
            for one in site.servers.by_id.values():
                one.add_held(wish)

        site.placement_requester.act = load
        site.placement_requester.answers = [
            placement_requester.PlacementResult(ready_in_s=0.05)
        ]
        told = await site.ask(x_model='words-large/a1')
        assert told.status == 200
        assert site.placement_requester.wishes == [wanted]

    forwarding_site.play(work)


def test_what_loads_too_late_is_refused_at_once():
    async def work(site):
        site.placement_requester.answers = [
            placement_requester.PlacementResult(ready_in_s=5.0)
        ]
        began_s = asyncio.get_running_loop().time()
        told = await site.ask(x_model='words-large')
        assert told.status == 503
        assert float(told.header_by_name['retry-after']) == 5.0
        assert asyncio.get_running_loop().time() - began_s < 0.3
        assert site.runs() == 0

    forwarding_site.play(work)


def test_a_server_that_dropped_the_model_is_learned_of():
    async def work(site):
        (worker,) = site.workers
        worker.manners = [MANNER.other]
        told = await site.ask(x_model='words-large')
        assert told.status == 503
        assert site.placement_requester.wishes
        (one,) = site.servers.by_id.values()
        assert not one.holds(need.Need(routing_parts.SERVICE, 'words-large'))

    forwarding_site.play(
        work,
        workers=1,
        listed={'adapters_by_model': {'words-large': ()}},
    )


def test_while_leaving_answers_end_the_connection():
    async def work(site):
        site.forwarder.leave(asyncio.get_running_loop().time() + 5)
        told = await site.ask()
        assert told.status == 200
        assert told.header_by_name['connection'] == 'close'

    forwarding_site.play(work)


def test_what_waits_at_a_leaving_instance_is_refused_before_it_stops():
    """A request whose model loads too late for this instance goes elsewhere."""

    async def work(site):
        loop = asyncio.get_running_loop()
        site.placement_requester.answers = [
            placement_requester.PlacementResult(ready_in_s=1.5)
            for _ in range(9)
        ]
        asking = asyncio.ensure_future(site.ask(x_model='words-large'))
        await asyncio.sleep(0.1)
        began_s = loop.time()
        site.forwarder.leave(began_s + 0.5)
        told = await asking
        assert told.status == 503
        assert loop.time() - began_s < 0.3
        assert site.runs() == 0

    forwarding_site.play(work)


def test_a_load_beyond_the_callers_patience_is_refused_at_once():
    """Callers leave a stream that does not begin in time, late or not."""

    async def work(site):
        loop = asyncio.get_running_loop()
        site.placement_requester.answers = [
            placement_requester.PlacementResult(ready_in_s=2.5)
        ]
        began_s = loop.time()
        told = await site.ask(x_model='words-large', x_deadline_ms='15000')
        assert told.status == 503
        assert float(told.header_by_name['retry-after']) == 2.5
        assert loop.time() - began_s < 0.3

    forwarding_site.play(work, **STREAM, timeout_s=15, patience_s=2.0)


def test_a_stream_that_goes_on_elsewhere_has_its_patience_anew():
    async def work(site):
        for worker in site.workers:
            worker.pause_s = 0.2
            worker.manners = [MANNER.half_stream]
            worker.manner = MANNER.stream
        site.workers[0].manners = site.workers[1].manners
        told = await site.ask()
        assert (told.body, told.whole) == (EVENTS, True)
        assert site.runs() == 2

    forwarding_site.play(work, **STREAM, patience_s=0.3)


def test_a_prompt_waits_for_its_turn_at_the_server_it_goes_to():
    async def work(site):
        for number in range(2):
            server = site.servers.by_id[f'server-{number}']
            server.add_held(need.Need(routing_parts.SERVICE, 'm0'))
        told = await site.ask(
            x_model='m0',
            x_token_usage='715,80',
            x_prompt_prefix='5c1e:100,91bd:72,e440:543',
        )
        assert told.status == 200
        ((server_id, prompt),) = site.prompt_scheduler.asked
        assert prompt.tokens == 543
        assert 0 < prompt.max_wait_s <= site.route.target_s
        (seen,) = (one for worker in site.workers for one in worker.seen)
        assert seen.header_by_name['x-expected-instance'] == server_id

    forwarding_site.play(work, **STREAM)


def test_a_server_that_leaves_during_the_wait_is_not_used():
    async def work(site):
        for one in site.servers.by_id.values():
            one.add_held(need.Need(routing_parts.SERVICE, 'm0'))

        def leave(server_id):
            site.servers.remove(server_id, 'left')
            site.prompt_scheduler.act = print

        site.prompt_scheduler.act = leave
        told = await site.ask(x_model='m0', x_token_usage='500,80')
        assert told.status == 200
        (first, _), (second, _) = site.prompt_scheduler.asked
        assert first != second

    forwarding_site.play(work, **STREAM)


@pytest.mark.parametrize(
    ('behind', 'load', 'status', 'asked'),
    [
        # Another server takes what one can't begin in time.
        (['server-0'], 64, 200, {'server-0', 'server-1'}),
        (['server-1'], 64, 200, {'server-0', 'server-1'}),
        # Where all are behind, callers are told at once when to come back.
        (['server-0', 'server-1'], 64, 503, {'server-0', 'server-1'}),
        # Nothing is refused while servers have room.
        (['server-0', 'server-1'], 10, 200, {'server-0'}),
    ],
)
def test_servers_that_are_behind_with_prompts(behind, load, status, asked):
    async def work(site):
        now_s = site.dependencies.now()
        for one in site.servers.by_id.values():
            one.add_held(need.Need(routing_parts.SERVICE, 'm0'))
            one.note_load(load, 0, now_s)
        # The one that is chosen first.
        site.servers.by_id['server-1'].note_load(load + 9, 0, now_s)
        for server_id in behind:
            site.prompt_scheduler.wait_s_by_id[server_id] = 0.8
        if load < 64:
            site.prompt_scheduler.wait_s_by_id.clear()
        told = await site.ask(x_model='m0', x_token_usage='500,80')
        assert told.status == status
        assert {
            server_id for server_id, _ in site.prompt_scheduler.asked
        } <= asked
        assert all(
            prompt.required is (load < 64)
            for _, prompt in site.prompt_scheduler.asked
        )
        if status == 503:
            assert float(told.header_by_name['retry-after']) >= 0.8
            assert site.runs() == 0

    forwarding_site.play(work, **STREAM)


@pytest.mark.parametrize(
    ('running', 'recent_wait_s', 'status'),
    [
        # All slots are taken and answers begin late: one more helps nobody.
        (64, 1.0, 503),
        # All slots are taken, but answers begin in time.
        (64, 0.05, 200),
        # A slot is free, whatever was seen before.
        (20, 1.0, 200),
    ],
)
def test_a_full_server_takes_no_stream_that_would_begin_late(
    running,
    recent_wait_s,
    status,
):
    async def work(site):
        now_s = site.dependencies.now()
        for one in site.servers.by_id.values():
            one.add_held(need.Need(routing_parts.SERVICE, 'm0'))
            one.note_load(running + 4, 0, now_s)
            for _ in range(20):
                one.note_wait(recent_wait_s, now_s)
        told = await site.ask(x_model='m0', x_token_usage='500,80')
        assert told.status == status
        if status == 503:
            assert float(told.header_by_name['retry-after']) > 0.5
            assert site.runs() == 0

    forwarding_site.play(work, **STREAM)
